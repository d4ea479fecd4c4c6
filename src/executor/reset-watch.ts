import {buildConnector} from 'undici';
import type {Millis} from '../clock/index.js';

/**
 * Tells whether an answer ends because its connection was reset. The HTTP library takes the reset of
 * a connection that would not be kept for the end of its answer; an answer without a length would
 * then look whole.
 */
export class ResetWatch {
	private isInside = false;

	/** Whether the code that asks runs inside the handling of a reset. */
	get isResetting(): boolean {
		return this.isInside;
	}

	/**
	 * @param timeout - time to open a connection, in ms.
	 * @returns a connector whose sockets are watched.
	 */
	createConnector(timeout: Millis): buildConnector.connector {
		const connect = buildConnector({timeout});
		return (options, callback) => {
			connect(options, (...result) => {
				const [, socket] = result;
				// Registered before the library's own listener, and so called before it.
				socket?.on('error', () => {
					this.isInside = true;
					queueMicrotask(() => {
						this.isInside = false;
					});
				});
				callback(...result);
			});
		};
	}
}
