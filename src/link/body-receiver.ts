import {Readable} from 'node:stream';
import type {HeaderList} from '../call/index.js';
import {FrameType} from './frame.js';
import type {Link} from './link.js';
import {windowBytes} from './link-limits.js';

/** The body broke off before its end. */
export class BodyLostError extends Error {
	override name = 'BodyLostError';
}

/** A streamed body as it comes in; grants the sender as much as its reader has taken. */
export class BodyReceiver extends Readable {
	/** Filled when the body has ended. */
	readonly trailers: HeaderList = [];
	private outstanding: number;

	constructor(
		private readonly link: Link,
		private readonly stream: number,
		/** Bytes that the sender may send without being told. */
		initialCredit: number,
	) {
		super({highWaterMark: windowBytes});
		this.outstanding = initialCredit;
	}

	/**
	 * @param bytes - the next piece.
	 * @returns false when the sender has broken its bound.
	 */
	accept(bytes: Uint8Array): boolean {
		this.outstanding -= bytes.length;
		if (this.outstanding < 0) {
			return false;
		}

		this.push(bytes);
		return true;
	}

	/**
	 * The body is whole.
	 * @param trailers - what came after it.
	 */
	finish(trailers: HeaderList): void {
		this.trailers.push(...trailers);
		this.push(null);
	}

	/** The body is not whole and never will be. */
	fail(): void {
		this.destroy(new BodyLostError('the body broke off'));
	}

	override _read(): void {
		const wanted = windowBytes - this.readableLength - this.outstanding;
		if (wanted >= windowBytes / 2) {
			this.outstanding += wanted;
			this.link.send({type: FrameType.Credit, stream: this.stream, bytes: wanted});
		}
	}
}
