import {Readable} from 'node:stream';
import type {HeaderList, RefusalReason} from '../call/index.js';
import {BodyLostError} from '../exchange/index.js';
import {ByteBlocks} from '../util/index.js';
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
	/** Bytes that wait until the buffer of the stream is empty; that would hold each small chunk by itself. */
	private readonly held = new ByteBlocks();
	private isComplete = false;
	private isFlushing = false;
	private isEndPushed = false;

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
		this.once('close', () => {
			this.held.takeAll();
		});
	}

	/** Bytes that were accepted and not yet read. */
	get unreadBytes(): number {
		return this.readableLength + this.held.length;
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

		this.held.append(bytes);
		this.flush();
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
		this.flush();
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
		this.flush();
		this.grantCredit();
		return chunk;
	}

	// Chunks are pushed as they arrive and as the reader takes them.
	override _read(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	private flush(): void {
		if (this.isFlushing || this.isEndPushed || this.destroyed) {
			return;
		}

		// A reader may read within `push`, and more may be accepted then: it belongs behind all blocks taken here.
		this.isFlushing = true;
		while (this.held.length > 0 && this.readableLength === 0) {
			for (const block of this.held.takeAll()) {
				this.push(block);
			}
		}

		this.isFlushing = false;

		// While bytes are left, the end would make the reader take them before the `read` that is under way returns.
		if (this.isComplete && this.held.length === 0 && this.readableLength === 0) {
			this.isEndPushed = true;
			this.push(null);
		}
	}

	private grantCredit(): void {
		const wanted = windowBytes - this.unreadBytes - this.outstandingCredit;
		if (wanted >= windowBytes / 2 && !this.isComplete && !this.destroyed) {
			this.outstandingCredit += wanted;
			this.link.send({type: FrameType.Credit, stream: this.stream, bytes: wanted});
		}
	}
}
