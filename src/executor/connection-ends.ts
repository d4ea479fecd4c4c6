import {buildConnector} from 'undici';
import type {Millis} from '../clock/index.js';

/** Replaces the code ECONNRESET, which undici treats as the end of an answer on a connection that is not kept alive. */
const resetCode = 'TURMERIC_RESET';

/** Handles the end of a connection ahead of undici, which asserts at that time that it isn't paused. */
export class ConnectionEnds {
	private readToEnd: (() => void) | undefined;

	/**
	 * Registers the answer that is read from the connection, which has one at a time.
	 * @param readToEnd - resumes undici and doesn't pause it again; it has no effect once the answer has ended.
	 */
	setAnswer(readToEnd: () => void): void {
		this.readToEnd = readToEnd;
	}

	/**
	 * @param timeout - time-out for opening a connection, in ms.
	 * @returns a connector that observes its sockets.
	 */
	createConnector(timeout: Millis): buildConnector.connector {
		const connect = buildConnector({timeout});
		return (options, callback) => {
			connect(options, (...result) => {
				const [, socket] = result;
				// Registered before undici's own listeners and therefore called first.
				socket?.on('error', (err: NodeJS.ErrnoException) => {
					if (err.code === 'ECONNRESET') {
						err.code = resetCode;
					}
				});
				// All that was received has been read from the socket by now, so that reading on takes no more memory.
				socket?.on('end', () => {
					this.readToEnd?.();
				});
				callback(...result);
			});
		};
	}
}
