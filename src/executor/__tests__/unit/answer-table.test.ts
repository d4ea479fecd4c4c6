import {describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {
	AttemptEnd,
	createBufferedBody,
	createRefused,
	type AttemptResult,
} from '../../../exchange/index.js';
import {
	AnswerKind,
	classifyAnswer,
	isUnsoundReport,
	NamedId,
	type AnswerEvidence,
} from '../../answer-table.js';
import {TurmericBackendProtocol} from '../../backend-protocol.js';
import {InterimAnswers} from '../../interim-answers.js';

const genuine: AnswerEvidence = {
	status: 200,
	request: NamedId.Expected,
	instance: NamedId.None,
	isDeclaredNotRun: false,
	isSigned: true,
	isFramed: true,
	isCoded: false,
};
const context = {promises: new Set<number>(), isIdempotent: false};
const statuses = Array.from({length: 1000}, (_, status) => status);
const outside = statuses.filter((status) => status < 200 || status >= 600);

function answered(status: number): AttemptResult {
	const body = createBufferedBody(new Uint8Array());
	return {end: AttemptEnd.Answered, status, headers: [], body, load: undefined};
}

// Guards against a status that no answer has and that reaches a caller, or holds its call until the time limit.
describe('a status', () => {
	it('from 200 to 599 is that of an answer, any other is not', () => {
		const kinds = statuses.map((status) => classifyAnswer({...genuine, status}, context));
		const refused = statuses.filter((status) => kinds[status] === AnswerKind.Invalid);
		expect(refused).toEqual(outside);
	});

	it('from 100 to 199 is interim if nothing else marks an answer, but for 101', () => {
		const interim = statuses.filter((status) => {
			const evidence = {...genuine, status, isFramed: false, isSigned: false};
			return classifyAnswer(evidence, context) === AnswerKind.Interim;
		});
		expect(interim).toEqual(statuses.slice(100, 200).filter((status) => status !== 101));
	});

	it('is judged alike in the native protocol', () => {
		const protocol = new TurmericBackendProtocol();
		const sent = {requestId: 'r', instance: 'i', isIdempotent: false};
		const classify = (status: number, headers: string[]) =>
			protocol.classify({status, headers}, sent);
		const length = ['Content-Length', '0'];
		const refused = statuses.filter((status) => classify(status, length) === AnswerKind.Invalid);
		expect(refused).toEqual(outside);
		expect([101, 102, 103].map((status) => classify(status, []))).toEqual([
			AnswerKind.Invalid,
			AnswerKind.Interim,
			AnswerKind.Interim,
		]);
	});

	it('is judged alike in the report of a peer', () => {
		const unsound = [...statuses, 1000, -1, 200.5, Number.NaN].filter((status) =>
			isUnsoundReport(answered(status), context),
		);
		expect(unsound).toEqual([...outside, 1000, -1, 200.5, Number.NaN]);
		expect(isUnsoundReport(createRefused(RefusalReason.Busy), context)).toBe(false);
	});
});

describe('interim answers', () => {
	it('may be many, but not without end', () => {
		const few = new InterimAnswers();
		const accepted = Array.from({length: 200}, () => few.accept(['Link', '</a>']));
		expect(accepted.filter(Boolean)).toHaveLength(100);
		const large = new InterimAnswers();
		const links = ['Link', 'y'.repeat(16_000)];
		const acceptedLarge = Array.from({length: 10}, () => large.accept(links));
		expect(acceptedLarge.filter(Boolean)).toHaveLength(4);
	});
});
