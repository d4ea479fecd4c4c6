import {describe, expect, it} from 'vitest';
import {decideParseFailure, ParseFailureAction, type ParseFailure} from '../../parse-failure.js';

const fresh: ParseFailure = {
	code: 'HPE_INVALID_HEADER_TOKEN',
	unanswered: 0,
	isNewestStreaming: false,
	requests: 0,
	hasBytes: true,
};
const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

describe('decideParseFailure', () => {
	it.each([
		['the first bytes of a connection are no request', {code: 'HPE_INVALID_METHOD'}],
		['a head is malformed', {}],
		['a later head is malformed', {requests: 3}],
		['a head is too long', {code: 'HPE_HEADER_OVERFLOW', requests: 1}],
		['a head is begun but does not end in time', {code: timeoutCode}],
	])('answers with a refusal if %s and nobody waits for another answer', (_name, change) => {
		expect(decideParseFailure({...fresh, ...change})).toBe(ParseFailureAction.Refuse);
	});

	// A caller that sends its first request at this moment would take a 408 for the answer to it.
	it('answers nothing on a connection that was opened and never used', () => {
		const failure = {...fresh, code: timeoutCode, hasBytes: false};
		expect(decideParseFailure(failure)).toBe(ParseFailureAction.CloseSilently);
	});

	it('answers nothing to bytes between requests', () => {
		const failure = {...fresh, code: 'HPE_INVALID_METHOD', requests: 1};
		expect(decideParseFailure(failure)).toBe(ParseFailureAction.CloseSilently);
	});

	it.each(['HPE_INVALID_METHOD', 'HPE_HEADER_OVERFLOW', 'HPE_CLOSED_CONNECTION', timeoutCode])(
		'answers the requests ahead of %s',
		(code) => {
			const failure = {...fresh, code, unanswered: 2, requests: 2};
			expect(decideParseFailure(failure)).toBe(ParseFailureAction.CloseBehindLast);
		},
	);

	// What was forwarded may have run: a refusal that says "not run" would be wrong.
	it('refuses no request whose body was forwarded in part', () => {
		const failure = {...fresh, code: timeoutCode, unanswered: 1, isNewestStreaming: true};
		expect(decideParseFailure(failure)).toBe(ParseFailureAction.Destroy);
	});

	it('closes at once if the caller has closed its side in the middle of a request', () => {
		const failure = {...fresh, code: 'HPE_INVALID_EOF_STATE', unanswered: 1};
		expect(decideParseFailure(failure)).toBe(ParseFailureAction.Destroy);
	});
});
