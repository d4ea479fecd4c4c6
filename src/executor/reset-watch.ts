import {buildConnector} from 'undici';
import type {Millis} from '../clock/index.js';

/**
 * Detects answers that end because their connection was reset. On a connection that is not kept alive,
 * undici reports a reset as the end of the answer, so that a truncated answer without a length would
 * look complete.
 */
export class ResetWatch {
	private isHandlingReset = false;

	/** Whether the current code runs while the reset of a connection is being handled. */
	get isResetting(): boolean {
		return this.isHandlingReset;
	}

	/**
	 * @param timeout - time-out for opening a connection, in ms.
	 * @returns a connector that observes the resets of its sockets.
	 */
	createConnector(timeout: Millis): buildConnector.connector {
		const connect = buildConnector({timeout});
		return (options, callback) => {
			connect(options, (...result) => {
				const [, socket] = result;
				// Registered before undici's own listener and therefore called first.
				socket?.on('error', () => {
					this.isHandlingReset = true;
					queueMicrotask(() => {
						this.isHandlingReset = false;
					});
				});
				callback(...result);
			});
		};
	}
}
