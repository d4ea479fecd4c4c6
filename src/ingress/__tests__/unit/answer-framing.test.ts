import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {createBufferedBody, createStreamBody} from '../../../exchange/index.js';
import {BodyFraming} from '../../../executor/index.js';
import {chooseFraming, framingHeaders, type FramedAnswer} from '../../answer-framing.js';

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
		expect(framingHeaders(BodyFraming.Length, answerOf())).toEqual(['content-length', '5']);
		const named = answerOf(buffered, 200, ['Content-Length', '5']);
		expect(framingHeaders(BodyFraming.Length, named)).toEqual([]);
		expect(framingHeaders(BodyFraming.None, answerOf())).toEqual([]);
		expect(framingHeaders(BodyFraming.Chunks, answerOf(streamed))).toEqual([]);
	});
});
