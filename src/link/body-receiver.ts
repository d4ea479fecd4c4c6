import {Readable} from 'node:stream';
import type {HeaderList, RefusalReason} from '../call/index.js';
import {BodyLostError} from '../exchange/index.js';
import {FrameType} from './frame.js';
import type {Link} from './link.js';
import {windowBytes} from './link-limits.js';

/**
 * Receives a streamed body and grants the sender credit as the reader takes it.
 *
 * Every call that takes bytes from the buffer or adds some ends with a check of the credit. So between calls, unread
 * bytes and outstanding credit together exceed half of the window: either the sender may send or the reader finds
 * bytes to take. The calls of `_read` play no part, as the stream class makes no further one before a push.
 */
export class BodyReceiver extends Readable {
	/** Filled in when the body has ended. */
	readonly trailers: HeaderList = [];
	private outstandingCredit: number;
	private isComplete = false;

	constructor(
		private readonly link: Link,
		private readonly stream: number,
		/** Bytes that the sender may send before the first Credit frame. */
		initialCredit: number,
	) {
		super({highWaterMark: windowBytes});
		this.outstandingCredit = initialCredit;
		// A body may be lost before anyone reads it, as frames can arrive together. Readers find it to be `errored`.
		this.on('error', () => undefined);
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
		// A reader that waits for data gets the chunk within `push`, without a call of `read`.
		this.grantCredit();
		return true;
	}

	/**
	 * Ends the body as complete.
	 * @param trailers - trailers that followed the body.
	 */
	finish(trailers: HeaderList): void {
		this.isComplete = true;
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

	/**
	 * All ways to read a stream take its bytes here; the first call also asks for a body without initial credit.
	 * @param size - see {@link Readable.read}.
	 * @returns see {@link Readable.read}.
	 */
	override read(size?: number): unknown {
		const chunk: unknown = super.read(size);
		this.grantCredit();
		return chunk;
	}

	// Chunks are pushed as they arrive.
	override _read(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	private grantCredit(): void {
		const wanted = windowBytes - this.readableLength - this.outstandingCredit;
		if (wanted >= windowBytes / 2 && !this.isComplete && !this.destroyed) {
			this.outstandingCredit += wanted;
			this.link.send({type: FrameType.Credit, stream: this.stream, bytes: wanted});
		}
	}
}
