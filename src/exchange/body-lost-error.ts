import type {RefusalReason} from '../call/index.js';

/** A streamed body was truncated. */
export class BodyLostError extends Error {
	override name = 'BodyLostError';

	/**
	 * @param reason - why no more of it arrives; `executor-lost` if the link to the executor was lost.
	 */
	constructor(readonly reason: RefusalReason) {
		super(`body truncated: ${reason}`);
	}
}
