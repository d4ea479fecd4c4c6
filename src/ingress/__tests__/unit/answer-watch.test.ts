import type {ServerResponse} from 'node:http';
import {Writable} from 'node:stream';
import {beforeEach, describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {AnswerCut, logEvents, Metrics, type LogEvent} from '../../../telemetry/index.js';
import {AnswerWatch} from '../../answer-watch.js';

/** A response whose connection takes nothing. */
function createResponse(): ServerResponse {
	const stream = new Writable({write: () => undefined});
	return Object.assign(stream, {headersSent: true, statusCode: 200}) as never;
}

describe('AnswerWatch', () => {
	const origin = {requestId: 'r1', caller: 's', route: 'a', priority: 0};
	let clock: ManualClock;
	let lines: Array<{event: LogEvent; details: Record<string, unknown>}>;
	let metrics: Metrics;
	let watch: AnswerWatch;

	function open(): ServerResponse {
		const res = createResponse();
		watch.enter(res, '/x');
		watch.identify(res, origin);
		return res;
	}

	async function count(cut: AnswerCut): Promise<number> {
		const {values} = await metrics.answersCut.get();
		return values.find(({labels}) => labels.cut === cut)?.value ?? 0;
	}

	beforeEach(() => {
		clock = new ManualClock();
		lines = [];
		metrics = new Metrics();
		const logger = {
			log(event: LogEvent, details: Record<string, unknown> = {}) {
				lines.push({event, details});
			},
		};
		watch = new AnswerWatch({clock, metrics, logger});
	});

	// Guards against answers that end early without a trace of what ended them.
	it('reports how far an answer got and how long nothing was written', async () => {
		const res = open();
		clock.advance(10);
		watch.recordProgress(res, 65_536);
		clock.advance(900);
		watch.reportCut(res, AnswerCut.Deadline);
		watch.reportCut(res, AnswerCut.Caller);
		expect(lines).toHaveLength(1);
		expect(lines[0]!.event).toBe(logEvents.answerCut);
		const told = {request: 'r1', cut: 'deadline', bytes: 65_536, quiet: 900};
		expect(lines[0]!.details).toMatchObject(told);
		expect(await count(AnswerCut.Deadline)).toBe(1);
		expect(await count(AnswerCut.Caller)).toBe(0);
	});

	it('counts a complete answer as in flight until its connection has taken it', async () => {
		const res = open();
		res.end('answer');
		watch.leave(res, {isTaken: false});
		expect(watch.callCount).toBe(0);
		expect(watch.inFlight).toBe(1);
		const closed = new Promise((resolve) => {
			res.once('close', resolve);
		});
		res.destroy();
		await closed;
		expect(watch.inFlight).toBe(0);
		expect(await count(AnswerCut.Caller)).toBe(1);
	});

	it('reports the requests that a stop leaves open', async () => {
		const res = open();
		open();
		res.end('answer');
		watch.leave(res, {isTaken: false});
		watch.reportRemaining();
		expect(lines.map((line) => line.details.cut)).toEqual(['stop', 'stop']);
		expect(await count(AnswerCut.Stop)).toBe(2);
	});
});
