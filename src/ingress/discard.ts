import type {IncomingMessage} from 'node:http';
import {second, type Clock, type Millis} from '../clock/index.js';

/** Largest body of an answered request that is received and discarded, in bytes. */
const maxDiscardedBytes = 1_000_000;
/** Longest time for which the rest of such a body is received. */
const maxDiscardTime: Millis = 2 * second;

/**
 * @param req - a request whose body has not been received.
 * @returns whether the rest is small enough to be discarded, so that the connection can go on. A connection
 * that is closed while its caller sends can lose the answer.
 */
export function canDiscard({headers}: IncomingMessage): boolean {
	const hasUnknownLength = headers['transfer-encoding'] !== undefined;
	return !hasUnknownLength && Number(headers['content-length'] ?? 0) <= maxDiscardedBytes;
}

/**
 * Receives and discards the rest of an answered request; closes the connection if that takes too long.
 * @param req - the request; nothing happens if it is complete.
 * @param clock - the clock.
 */
export function discardRest(req: IncomingMessage, clock: Clock): void {
	if (req.complete || req.destroyed) {
		return;
	}

	const undo = clock.after(maxDiscardTime, () => {
		req.socket.destroy();
	});
	req.once('close', undo);
	req.once('end', undo);
	req.resume();
}
