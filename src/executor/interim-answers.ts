import type {HeaderList} from '../call/index.js';

/** A backend server that works for a minute and tells so each second stays below. */
const maxAnswers = 100;
/** As long as one head may be, for each of a few interim answers with links. */
const maxBytes = 65_536;

/** Bounds the interim answers ahead of an answer, which a faulty backend server may send without end. */
export class InterimAnswers {
	private count = 0;
	private bytes = 0;

	/**
	 * @param headers - headers of an interim answer.
	 * @returns whether the call may go on waiting for its answer.
	 */
	accept(headers: HeaderList): boolean {
		this.count += 1;
		for (const text of headers) {
			this.bytes += text.length;
		}

		return this.count <= maxAnswers && this.bytes <= maxBytes;
	}
}
