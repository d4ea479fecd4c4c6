import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {createBufferedBody, createStreamBody} from '../../../exchange/index.js';
import {BodyFraming} from '../../../executor/index.js';
import {
	chooseFraming,
	forwardableTrailers,
	framedHeaders,
	type FramedAnswer,
} from '../../answer-framing.js';

const buffered = createBufferedBody(new Uint8Array(5));
const streamed = createStreamBody(new PassThrough(), [], false);
const withTrailers = createBufferedBody(new Uint8Array(5), ['x-last', '1']);

function answerOf(body = buffered, status = 200, headers: string[] = []): FramedAnswer {
	return {status, headers, body};
}

describe('chooseFraming', () => {
	it.each([
		['GET', '1.1', answerOf(), BodyFraming.Length],
		['GET', '1.0', answerOf(), BodyFraming.Length],
		['GET', '1.1', answerOf(streamed), BodyFraming.Chunks],
		['GET', '1.0', answerOf(streamed), BodyFraming.Connection],
		['GET', '1.0', answerOf(streamed, 200, ['Content-Length', '9']), BodyFraming.Length],
		['GET', '1.1', answerOf(withTrailers), BodyFraming.Chunks],
		['GET', '1.0', answerOf(withTrailers), BodyFraming.Length],
		['HEAD', '1.0', answerOf(), BodyFraming.None],
		['GET', '1.0', answerOf(buffered, 304), BodyFraming.None],
	])(
		'marks the end of an answer to %s with HTTP/%s (%j) by %s',
		(method, httpVersion, answer, framing) => {
			expect(chooseFraming({method, httpVersion}, answer)).toBe(framing);
		},
	);

	it('adds the length only where it marks the end and is not named', () => {
		expect(framedHeaders(BodyFraming.Length, answerOf())).toEqual(['content-length', '5']);
		const named = answerOf(buffered, 200, ['Content-Length', '5']);
		expect(framedHeaders(BodyFraming.Length, named)).toEqual(['Content-Length', '5']);
		expect(framedHeaders(BodyFraming.None, answerOf())).toEqual([]);
		expect(framedHeaders(BodyFraming.Chunks, answerOf(streamed))).toEqual([]);
	});

	// Guards against a head that the HTTP library throws at, so that the caller's connection closes without an answer.
	it.each([
		[BodyFraming.Chunks, ['Trailer', 'x-sum', 'x-a', '1']],
		[BodyFraming.Length, ['x-a', '1', 'content-length', '5']],
		[BodyFraming.None, ['x-a', '1']],
		[BodyFraming.Connection, ['x-a', '1']],
	])('announces trailers only where they can follow: %s', (framing, headers) => {
		const announced = answerOf(buffered, 200, ['Trailer', 'x-sum', 'x-a', '1']);
		expect(framedHeaders(framing, announced)).toEqual(headers);
	});

	it('names no length for a status without content, and keeps that of what was not modified', () => {
		const length = ['content-length', '4'];
		expect(framedHeaders(BodyFraming.None, answerOf(buffered, 204, length))).toEqual([]);
		expect(framedHeaders(BodyFraming.None, answerOf(buffered, 304, length))).toEqual(length);
	});

	it('passes on no trailers that frame a message', () => {
		const trailers = ['X-Sum', '1', 'Content-Length', '4', 'Transfer-Encoding', 'chunked'];
		expect(forwardableTrailers([...trailers, 'Connection', 'close'])).toEqual([['X-Sum', '1']]);
	});
});
