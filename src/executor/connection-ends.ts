import type {Socket} from 'node:net';
import {buildConnector} from 'undici';
import type {HeaderList} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import {ContinueFilter, stripReads} from './continue-filter.js';

/** Replaces the code ECONNRESET, which undici treats as the end of an answer on a connection that is not kept alive. */
const resetCode = 'TURMERIC_RESET';
/** Ids that are kept of a connection; an answer may come late by as many requests. */
const maxCarriedIds = 256;

/** State of a connection as far as it can mark the end of an answer. */
export enum ConnectionState {
	Open = 'open',
	/** The backend server has closed its side in order. */
	Ended = 'ended',
	/** Reset, or ended in an unknown way. */
	Lost = 'lost',
	/** Closed by this node, as what it had read is no HTTP. */
	Rejected = 'rejected',
}

/** Handles the end of a connection ahead of undici, which asserts at that time that it isn't paused. */
export class ConnectionEnds {
	private readToEnd: (() => void) | undefined;
	private current = ConnectionState.Lost;
	private errorCode: string | undefined;
	private readonly ids = new Set<string>();
	private answers = new ContinueFilter();

	/** State of the connection. */
	get state(): ConnectionState {
		return this.current;
	}

	/** Code or message of the error that ended the connection; undefined if there was none. */
	get error(): string | undefined {
		return this.errorCode;
	}

	/** Ids of the latest requests that were sent on the connection. */
	get carriedIds(): ReadonlySet<string> {
		return this.ids;
	}

	/**
	 * @param id - id of a request that is about to be written.
	 * @param acceptContinue - returns whether an interim answer with status 100 and these headers may precede its answer.
	 */
	recordRequest(id: string, acceptContinue: (headers: HeaderList) => boolean): void {
		this.answers.expectAnswer(acceptContinue);
		this.ids.add(id);
		if (this.ids.size > maxCarriedIds) {
			const [oldest] = this.ids;
			this.ids.delete(oldest!);
		}
	}

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
				if (socket) {
					this.observe(socket);
				}

				callback(...result);
			});
		};
	}

	// The listeners are registered before undici's own and therefore called first.
	private observe(socket: Socket): void {
		this.current = ConnectionState.Open;
		this.errorCode = undefined;
		this.ids.clear();
		this.readToEnd = undefined;
		this.answers = new ContinueFilter();
		stripReads(socket, this.answers);
		socket.on('error', (err: NodeJS.ErrnoException) => {
			// Errors of the operating system name the call that has failed.
			const isRejected = err.syscall === undefined && this.current === ConnectionState.Open;
			this.current = isRejected ? ConnectionState.Rejected : ConnectionState.Lost;
			this.errorCode = isRejected ? err.message : err.code;
			if (err.code === 'ECONNRESET') {
				err.code = resetCode;
			}
		});
		// All that was received has been read from the socket by now, so that reading on takes no more memory.
		socket.on('end', () => {
			this.readToEnd?.();
			this.current = hasPeer(socket) ? ConnectionState.Ended : ConnectionState.Lost;
		});
		socket.on('close', () => {
			if (this.current === ConnectionState.Open) {
				this.current = ConnectionState.Lost;
			}
		});
	}
}

/**
 * Tells an orderly end from a reset that arrived with the last bytes, which libuv reports as an end as well: a socket that
 * was reset has no peer any more. Node.js keeps an address that was read before, so that nothing may read it earlier.
 */
function hasPeer(socket: Socket): boolean {
	return socket.remoteAddress !== undefined;
}
