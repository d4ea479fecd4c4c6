import type {IncomingMessage} from 'node:http';
import {
	createStreamBody,
	createBufferedBody,
	maxInlineBodyBytes,
	type Body,
} from '../exchange/index.js';

/** The caller closed the connection before the request was complete. */
export class RequestBodyError extends Error {
	override name = 'RequestBodyError';
}

const emptyBody = createBufferedBody(new Uint8Array());

/**
 * Reads the body of a request. A small body is buffered so that the call can be retried; a large one
 * or one of unknown length is streamed so that memory use stays bounded.
 * @param req - the request.
 * @returns the body.
 * @throws {@link RequestBodyError} when the connection closes before the end of a buffered body.
 */
export async function readRequestBody(req: IncomingMessage): Promise<Body> {
	// Nothing reports the end of a connection that has closed before the body is read.
	if (req.destroyed) {
		throw new RequestBodyError('connection closed before the request body was read');
	}

	const length = req.headers['content-length'];
	const hasBody = length !== undefined || req.headers['transfer-encoding'] !== undefined;
	if (!hasBody || length === '0') {
		req.resume();
		return emptyBody;
	}

	if (length === undefined || Number(length) > maxInlineBodyBytes) {
		return createStreamBody(req, req.rawTrailers);
	}

	return createBufferedBody(await collect(req, Number(length)));
}

async function collect(req: IncomingMessage, length: number): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const bytes = new Uint8Array(length);
		let offset = 0;
		req.on('data', (chunk: Uint8Array) => {
			bytes.set(chunk, offset);
			offset += chunk.length;
		});
		req.once('end', () => {
			resolve(bytes);
		});
		req.once('close', () => {
			reject(new RequestBodyError('connection closed before the request body was complete'));
		});
	});
}
