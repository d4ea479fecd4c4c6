import type {IncomingMessage} from 'node:http';
import {second, type Clock, type Millis} from '../clock/index.js';

/** Largest body of an answered request that is received and discarded, in bytes. */
const maxDiscardedBytes = 1_000_000;
/** Longest time for which the rest of such a body is received. */
const maxDiscardTime: Millis = 2 * second;

/**
 * @param req - a request that is answered before its body has been received.
 * @returns whether the rest is discarded, so that the connection can go on. A body of which a part was read, one that
 * its caller may not send, and one that is large or of unknown length are not.
 */
export function canDiscardRest(req: IncomingMessage): boolean {
	const {headers, readableDidRead} = req;
	const isAwaited = headers.expect === undefined && headers['transfer-encoding'] === undefined;
	return (
		isAwaited && !readableDidRead && Number(headers['content-length'] ?? 0) <= maxDiscardedBytes
	);
}

/**
 * Receives and discards the rest of an answered request; closes the connection if that takes too long.
 * @param req - the request; nothing happens if it is complete.
 * @param clock - the clock.
 */
export function discardRest(req: IncomingMessage, clock: Pick<Clock, 'after'>): void {
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
