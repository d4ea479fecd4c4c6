import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {createBufferedBody, createStreamBody} from '../../../exchange/index.js';
import {
	AnswerFraming,
	chooseFraming,
	framingHeaders,
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
		['GET', '1.1', answerOf(), AnswerFraming.Length],
		['GET', '1.0', answerOf(), AnswerFraming.Length],
		['GET', '1.1', answerOf(streamed), AnswerFraming.Chunks],
		['GET', '1.0', answerOf(streamed), AnswerFraming.Connection],
		['GET', '1.0', answerOf(streamed, 200, ['Content-Length', '9']), AnswerFraming.Length],
		['GET', '1.1', answerOf(withTrailers), AnswerFraming.Chunks],
		['GET', '1.0', answerOf(withTrailers), AnswerFraming.Length],
		['HEAD', '1.0', answerOf(), AnswerFraming.Head],
		['GET', '1.0', answerOf(buffered, 304), AnswerFraming.Head],
	])(
		'marks the end of an answer to %s with HTTP/%s (%j) by %s',
		(method, httpVersion, answer, framing) => {
			expect(chooseFraming({method, httpVersion}, answer)).toBe(framing);
		},
	);

	it('adds the length only where it marks the end and is not named', () => {
		expect(framingHeaders(AnswerFraming.Length, answerOf())).toEqual(['content-length', '5']);
		const named = answerOf(buffered, 200, ['Content-Length', '5']);
		expect(framingHeaders(AnswerFraming.Length, named)).toEqual([]);
		expect(framingHeaders(AnswerFraming.Head, answerOf())).toEqual([]);
		expect(framingHeaders(AnswerFraming.Chunks, answerOf(streamed))).toEqual([]);
	});
});
