import type {IncomingMessage} from 'node:http';
import {RefusalReason, type Deadline} from '../call/index.js';
import type {Clock} from '../clock/index.js';
import {
	createStreamBody,
	createBufferedBody,
	maxInlineBodyBytes,
	type Body,
} from '../exchange/index.js';
import type {BodyLease} from './body-memory.js';
import {RefusedRequestError} from './caller-protocol.js';
import {RequestBodyError} from './request-body-error.js';
import {UploadBody} from './upload-body.js';

/** How the body of a request is read. */
export interface BodyReading {
	readonly clock: Clock;
	/** Memory for the body. */
	readonly lease: BodyLease;
	/** Whether the body is held back until the rest of it arrives soon. */
	readonly isUpload: boolean;
	/** Largest accepted size, in bytes. */
	readonly maxBytes: number;
	/** When the caller stops waiting. */
	readonly deadline: Deadline;
	/** Called before the first byte is read, to tell a caller that waits for it. */
	beginReading(): void;
}

const emptyBody = createBufferedBody(new Uint8Array());

/**
 * @param req - a request.
 * @returns whether its head announces a body.
 */
export function hasBody({headers}: IncomingMessage): boolean {
	const length = headers['content-length'];
	return headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/**
 * Reads the body of a request. A small body is buffered so that the call can be retried; a large one
 * or one of unknown length is streamed so that memory use stays bounded.
 * @param req - the request.
 * @param reading - how to read it.
 * @returns the body; an {@link UploadBody} is not read before its `receive` is called.
 * @throws {@link RequestBodyError} when the connection closes before the end of a buffered body.
 * @throws {@link RefusedRequestError} when there is no memory for a buffered body, or the deadline passes before its end.
 */
export async function readRequestBody(req: IncomingMessage, reading: BodyReading): Promise<Body> {
	const length = req.headers['content-length'];
	if (!hasBody(req)) {
		req.resume();
		return emptyBody;
	}

	const {lease, isUpload, beginReading} = reading;
	const size = length === undefined ? undefined : Number(length);
	if (isUpload) {
		const stream = new UploadBody(req, {...reading, length: size});
		return createStreamBody(stream, req.rawTrailers, true, size);
	}

	if (size === undefined || size > maxInlineBodyBytes) {
		beginReading();
		return createStreamBody(req, req.rawTrailers, true, size);
	}

	lease.grow(size);
	beginReading();
	return createBufferedBody(await collect(req, Number(length), reading));
}

async function collect(
	req: IncomingMessage,
	length: number,
	{clock, deadline}: BodyReading,
): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const undo = clock.after(deadline.timeLeft(clock.now()), () => {
			reject(new RefusedRequestError(RefusalReason.BodyTooSlow));
		});
		const bytes = new Uint8Array(length);
		let offset = 0;
		req.on('data', (chunk: Uint8Array) => {
			bytes.set(chunk, offset);
			offset += chunk.length;
		});
		req.once('end', () => {
			undo();
			resolve(bytes);
		});
		req.once('close', () => {
			undo();
			reject(new RequestBodyError('connection closed before the request body was complete'));
		});
	});
}
