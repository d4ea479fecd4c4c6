import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {RefusalReason} from '../call/index.js';
import {second, type Clock, type Millis, type Undo} from '../clock/index.js';
import {withResolvers} from '../util/index.js';
import type {BodyLease} from './body-memory.js';
import {RequestBodyError} from './request-body-error.js';

/** Collaborators and limits of {@link UploadBody}. */
export interface UploadBodyDependencies {
	readonly clock: Clock;
	/** Memory for the part of the body that was received and not yet forwarded. */
	readonly lease: BodyLease;
	/** Declared size, in bytes; undefined if it is not known. */
	readonly length: number | undefined;
	/** Largest accepted size, in bytes. */
	readonly maxBytes: number;
	/** Called before the first byte is read, to tell a caller that waits for it. */
	beginReading(): void;
}

/** Memory that is reserved at a time. */
const stepBytes = 65_536;
/** Most memory for one body: the largest uploads have 360 KB, so that they fit. */
const maxHeldBytes = 8 * stepBytes;
/**
 * Longest time for which the rest of a body that does not fit into its memory may keep a slot of a backend
 * server, at the rate at which the body has arrived so far; about the run time of an upload.
 */
const maxRestTime: Millis = 250;
/** Interval at which the rate of a body is checked. */
const checkPeriod: Millis = 0.5 * second;
/**
 * Least number of bytes in each interval. It is a twenty-seventh of a link of 7 Mbit/s, so that as many
 * uploads can share the link.
 */
const minBytesPerCheck = 16_384;

const closedEarly = 'connection closed before the request body was complete';

/** Why a body is not read to its end. */
export type UploadFailure = RefusalReason.BodyTooSlow | RefusalReason.BodyTooLarge;

/**
 * Body of an upload. It is held back until it is complete, so that a slow caller keeps no slot of a backend
 * server, and it is ended when it arrives too slowly. A body that does not fit into its memory is forwarded
 * while it arrives, if the rest is expected soon.
 */
export class UploadBody extends Readable {
	private readonly chunks: Uint8Array[] = [];
	private heldBytes = 0;
	private capacity = 0;
	private received = 0;
	private receivedAtCheck = 0;
	private startedAt: Millis | undefined;
	private isComplete = false;
	/** Whether the reader waits for the next chunk. */
	private isWanted = false;
	private isForwarding = false;
	private failureReason: UploadFailure | undefined;
	private undoCheck: Undo | undefined;
	private readonly useful = withResolvers<UploadFailure | undefined>();

	constructor(
		private readonly req: IncomingMessage,
		private readonly deps: UploadBodyDependencies,
	) {
		super({highWaterMark: stepBytes / 4});
		// A body that is not read to its end is reported by the result of its call.
		this.on('error', () => undefined);
		this.once('close', () => {
			this.undoCheck?.();
			req.off('data', this.handleData);
			this.chunks.length = 0;
		});
	}

	/** Why the body was ended; undefined if it was not. */
	get failure(): UploadFailure | undefined {
		return this.failureReason;
	}

	/** Number of bytes received so far. */
	get receivedBytes(): number {
		return this.received;
	}

	/** Whether a part of the body was forwarded, so that the call may have run. */
	get isForwarded(): boolean {
		return this.isForwarding;
	}

	/**
	 * Starts receiving the body.
	 * @param timeLeft - longest time to wait, in ms.
	 * @returns a promise that resolves when the call may start, or with the reason why it must not.
	 * @throws {@link RefusedRequestError} when there is no memory for the body.
	 * @throws {@link RequestBodyError} when the connection closes before.
	 */
	async receive(timeLeft: Millis): Promise<UploadFailure | undefined> {
		const {clock, lease, beginReading} = this.deps;
		lease.grow(stepBytes);
		this.capacity = stepBytes;
		this.startedAt = clock.now();
		this.listen();
		beginReading();
		this.scheduleCheck();
		const undo = clock.after(timeLeft, () => {
			this.fail(RefusalReason.BodyTooSlow);
		});
		const failure = await this.useful.promise;
		undo();
		if (failure === undefined && this.destroyed) {
			throw new RequestBodyError(closedEarly);
		}

		return failure;
	}

	override _read(): void {
		this.isForwarding = true;
		const chunk = this.chunks.shift();
		if (chunk) {
			this.heldBytes -= chunk.length;
			this.push(chunk);
		} else if (this.isComplete) {
			this.push(null);
		} else {
			this.isWanted = true;
		}

		if (this.heldBytes < this.capacity) {
			this.req.resume();
		}
	}

	private listen(): void {
		const {req} = this;
		req.on('data', this.handleData);
		req.once('end', () => {
			this.isComplete = true;
			this.undoCheck?.();
			this.useful.resolve(undefined);
			if (this.isWanted) {
				this.isWanted = false;
				this.push(null);
			}
		});
		req.once('close', () => {
			if (!this.isComplete) {
				this.destroy(new RequestBodyError(closedEarly));
				this.useful.resolve(undefined);
			}
		});
	}

	private readonly handleData = (chunk: Uint8Array): void => {
		if (this.destroyed) {
			return;
		}

		this.received += chunk.length;
		if (this.received > this.deps.maxBytes) {
			this.fail(RefusalReason.BodyTooLarge);
			return;
		}

		if (this.isWanted) {
			this.isWanted = false;
			this.push(chunk);
		} else {
			this.chunks.push(chunk);
			this.heldBytes += chunk.length;
		}

		if (this.received === this.deps.length) {
			this.useful.resolve(undefined);
		}

		if (this.heldBytes >= this.capacity) {
			this.makeRoom();
		}
	};

	// Without room, the caller is stopped by the flow control of its connection.
	private makeRoom(): void {
		const canGrow = !this.isForwarding && this.capacity < maxHeldBytes;
		if (canGrow && this.deps.lease.tryGrow(stepBytes)) {
			this.capacity += stepBytes;
		} else if (this.isForwarding || this.received === this.deps.length || this.isRestSoon) {
			this.req.pause();
			this.useful.resolve(undefined);
		} else {
			this.fail(RefusalReason.BodyTooSlow);
		}
	}

	// The rest of a body without a length counts as one step of memory.
	private get isRestSoon(): boolean {
		const {length = this.received + stepBytes, clock} = this.deps;
		const elapsed = Math.max(1, clock.now() - (this.startedAt ?? clock.now()));
		return ((length - this.received) * elapsed) / Math.max(1, this.received) <= maxRestTime;
	}

	// A body that waits for its reader is not slow.
	private scheduleCheck(): void {
		this.undoCheck = this.deps.clock.after(checkPeriod, () => {
			const arrived = this.received - this.receivedAtCheck;
			const rest = (this.deps.length ?? Number.POSITIVE_INFINITY) - this.receivedAtCheck;
			this.receivedAtCheck = this.received;
			if (arrived < Math.min(minBytesPerCheck, rest) && !this.req.isPaused()) {
				this.fail(RefusalReason.BodyTooSlow);
			} else {
				this.scheduleCheck();
			}
		});
	}

	private fail(reason: UploadFailure): void {
		if (this.isComplete || this.destroyed) {
			return;
		}

		this.failureReason = reason;
		this.useful.resolve(reason);
		this.emit('failed');
		this.destroy(new RequestBodyError(`request body ended: ${reason}`));
	}
}
