import {RefusalReason} from '../call/index.js';
import {RefusedRequestError} from './caller-protocol.js';

/**
 * Bounds the memory for the bodies of requests that an ingress holds. Callers decide how many requests they
 * send and how large these are, and a node has 250 MB.
 */
export class BodyMemory {
	private reserved = 0;

	constructor(
		private readonly limit: number,
		private readonly onChanged: (bytes: number) => void,
	) {}

	/** @returns a lease without memory. */
	open(): BodyLease {
		return new BodyLease((bytes) => this.add(bytes));
	}

	private add(bytes: number): boolean {
		if (bytes > 0 && this.reserved + bytes > this.limit) {
			return false;
		}

		this.reserved += bytes;
		this.onChanged(this.reserved);
		return true;
	}
}

/** Memory for the body of one request. */
export class BodyLease {
	private bytes = 0;

	constructor(private readonly add: (bytes: number) => boolean) {}

	/**
	 * @param bytes - further memory, in bytes.
	 * @returns whether it is available; if so, it is reserved.
	 */
	tryGrow(bytes: number): boolean {
		if (!this.add(bytes)) {
			return false;
		}

		this.bytes += bytes;
		return true;
	}

	/**
	 * @param bytes - further memory, in bytes.
	 * @throws {@link RefusedRequestError} when it is not available.
	 */
	grow(bytes: number): void {
		if (!this.tryGrow(bytes)) {
			throw new RefusedRequestError(RefusalReason.TooManyCalls);
		}
	}

	/** Returns all memory. */
	release(): void {
		this.add(-this.bytes);
		this.bytes = 0;
	}
}
