import type {IncomingMessage} from 'node:http';
import {
	createStreamBody,
	createBufferedBody,
	maxInlineBodyBytes,
	type Body,
} from '../exchange/index.js';

/** The caller broke off its request before its end. */
export class RequestBodyError extends Error {
	override name = 'RequestBodyError';
}

const emptyBody = createBufferedBody(new Uint8Array());

/**
 * Takes the body of a request: a small one as a whole, so that the call can be tried again, and a
 * large one as a stream, so that memory stays bounded.
 * @param req - the request.
 * @returns the body.
 * @throws {@link RequestBodyError}
 */
export async function readRequestBody(req: IncomingMessage): Promise<Body> {
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
		let at = 0;
		req.on('data', (chunk: Uint8Array) => {
			bytes.set(chunk, at);
			at += chunk.length;
		});
		req.once('end', () => {
			resolve(bytes);
		});
		req.once('close', () => {
			reject(new RequestBodyError('the caller broke off its request'));
		});
	});
}
