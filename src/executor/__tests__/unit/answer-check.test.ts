import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {AnswerCheck, AnswerDefect} from '../../answer-check.js';
import {TurmericBackendProtocol} from '../../backend-protocol.js';
import {ConnectionState} from '../../connection-ends.js';

const {Open, Ended, Lost} = ConnectionState;
const {Cut, Coding} = AnswerDefect;
const length = ['Content-Length', '4'];
const chunked = ['Transfer-Encoding', 'Chunked'];
const gzip = ['Transfer-Encoding', 'gzip'];
const gzipInChunks = ['Transfer-Encoding', 'gzip, chunked'];

describe('AnswerCheck', () => {
	it.each([
		['GET', 200, length, 'body', Open, undefined],
		['GET', 200, length, 'body', Lost, undefined],
		['GET', 200, length, 'bod', Ended, Cut],
		['GET', 200, chunked, 'body', Open, undefined],
		['GET', 200, chunked, 'body', Ended, Cut],
		['GET', 200, [], 'body', Ended, undefined],
		['GET', 200, [], 'body', Open, Cut],
		['GET', 200, [], 'body', Lost, Cut],
		['GET', 200, [], '', Lost, Cut],
		['GET', 500, [], 'body', Lost, Cut],
		['GET', 200, gzip, 'body', Ended, Coding],
		['GET', 200, gzipInChunks, 'body', Open, Coding],
		['HEAD', 200, length, '', Open, undefined],
		['HEAD', 200, [], '', Lost, undefined],
		['GET', 204, [], '', Open, undefined],
		['GET', 304, length, '', Open, undefined],
	])('%s %i %j with %j, connection %s: %s', (method, status, headers, body, state, defect) => {
		const protocol = new TurmericBackendProtocol();
		const check = new AnswerCheck({status, headers}, {protocol, method, carriedIds: new Set()});
		check.add(Buffer.from(body));
		expect(check.defect(state)).toBe(defect);
	});
});
