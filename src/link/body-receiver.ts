import {Readable} from 'node:stream';
import type {HeaderList, RefusalReason} from '../call/index.js';
import {BodyLostError} from '../exchange/index.js';
import {FrameType} from './frame.js';
import type {Link} from './link.js';
import {windowBytes} from './link-limits.js';

/** Receives a streamed body and grants the sender credit as the reader consumes it. */
export class BodyReceiver extends Readable {
	/** Filled in when the body has ended. */
	readonly trailers: HeaderList = [];
	private outstandingCredit: number;

	constructor(
		private readonly link: Link,
		private readonly stream: number,
		/** Bytes that the sender may send before the first Credit frame. */
		initialCredit: number,
	) {
		super({highWaterMark: windowBytes});
		this.outstandingCredit = initialCredit;
	}

	/**
	 * @param bytes - the next chunk.
	 * @returns false when the sender exceeded its credit.
	 */
	accept(bytes: Uint8Array): boolean {
		this.outstandingCredit -= bytes.length;
		if (this.outstandingCredit < 0) {
			return false;
		}

		this.push(bytes);
		return true;
	}

	/**
	 * Ends the body as complete.
	 * @param trailers - trailers that followed the body.
	 */
	finish(trailers: HeaderList): void {
		this.trailers.push(...trailers);
		this.push(null);
	}

	/**
	 * Ends the body as truncated: destroys the stream with a {@link BodyLostError}.
	 * @param reason - why no more of it arrives.
	 */
	fail(reason: RefusalReason): void {
		this.destroy(new BodyLostError(reason));
	}

	override _read(): void {
		const wanted = windowBytes - this.readableLength - this.outstandingCredit;
		if (wanted >= windowBytes / 2) {
			this.outstandingCredit += wanted;
			this.link.send({type: FrameType.Credit, stream: this.stream, bytes: wanted});
		}
	}
}
