import type {Readable} from 'node:stream';
import {RefusalReason, type HeaderList} from '../call/index.js';
import {FrameType} from './frame.js';
import type {Link} from './link.js';
import {chunkBytes} from './link-limits.js';

export interface BodySenderDependencies {
	readonly link: Link;
	readonly stream: number;
	readonly source: Readable;
	/** Complete when the source has ended. */
	readonly trailers: HeaderList;
	/** Bytes that may be sent before the first Credit frame. */
	readonly initialCredit: number;
	/** Called once, after the last frame of the body was sent or when it is canceled. */
	finished(): void;
}

/** Sends a streamed body within the credit that the receiver has granted. */
export class BodySender {
	private isEnded = false;
	private isDone = false;

	private readonly link: Link;
	private readonly stream: number;
	private readonly source: Readable;
	private readonly trailers: HeaderList;
	private readonly finished: BodySenderDependencies['finished'];
	private credit: number;

	constructor(deps: BodySenderDependencies) {
		const {link, stream, source, trailers, initialCredit, finished} = deps;
		this.link = link;
		this.stream = stream;
		this.source = source;
		this.trailers = trailers;
		this.credit = initialCredit;
		this.finished = finished;
		source.on('readable', () => {
			this.pump();
		});
		source.once('end', () => {
			this.isEnded = true;
			this.finish();
		});
		source.once('error', () => {
			this.fail();
		});
		source.once('close', () => {
			this.fail();
		});
		// A source that has closed before reports nothing any more.
		if (source.closed) {
			this.fail();
		}
	}

	/**
	 * @param bytes - additional credit.
	 */
	addCredit(bytes: number): void {
		this.credit += bytes;
		this.pump();
	}

	/** Stops sending and destroys the source. */
	cancel(): void {
		this.source.destroy();
		if (!this.isDone) {
			this.isDone = true;
			this.finished();
		}
	}

	private pump(): void {
		while (this.credit > 0 && !this.isDone) {
			const size = Math.min(this.credit, chunkBytes, this.source.readableLength);
			const chunk = size > 0 ? this.read(size) : this.triggerRead();
			if (!chunk) {
				return;
			}

			this.credit -= chunk.length;
			this.link.send({type: FrameType.Data, stream: this.stream, bytes: chunk});
		}
	}

	// Reading from an empty buffer makes the source fetch more data or emit `end`.
	private triggerRead(): Uint8Array | undefined {
		this.source.read(0);
		return undefined;
	}

	private read(size: number): Uint8Array | undefined {
		const chunk: unknown = this.source.read(size);
		return chunk instanceof Uint8Array ? chunk : undefined;
	}

	private finish(): void {
		if (!this.isDone) {
			this.isDone = true;
			this.link.send({type: FrameType.End, stream: this.stream, trailers: this.trailers});
			this.finished();
		}
	}

	private fail(): void {
		if (!this.isDone && !this.isEnded) {
			this.isDone = true;
			const reason = RefusalReason.BackendLost;
			this.link.send({type: FrameType.Failed, stream: this.stream, reason});
			this.finished();
		}
	}
}
