import {request} from 'node:http';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {DeclarationIndex, type CallPolicy, type ServicePolicy} from '../../../declaration/index.js';
import {
	AttemptEnd,
	createBufferedBody,
	createRefused,
	createUnknown,
	type AttemptResult,
} from '../../../exchange/index.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {Ingress, TurmericCallerProtocol, type CallQuotaVerdict} from '../../index.js';

const service: ServicePolicy = {
	service: 's',
	kind: 'k',
	queue: 10,
	warmUp: 0,
	probeBudget: 6,
	isOtherRegionAllowed: true,
};
const policy: CallPolicy = {
	service: 's',
	customer: 'c',
	deadline: 1000,
	maxDeadline: 1000,
	idempotentMethods: ['GET'],
	idempotentPaths: [],
	maxAttempts: 3,
	retryShare: 0.1,
	hedgeShare: 0,
	share: 1,
	keyRetention: 60_000,
};
const declaration = {deployment: 'd', services: [service], calls: [policy], links: []};
const index = new DeclarationIndex(1, declaration);
const address = '127.31.42.1';
const port = 7651;

describe('Ingress with quotas', () => {
	let verdict: CallQuotaVerdict = {isAdmitted: true, wait: 0};
	let result: AttemptResult;
	let tokens = 0;
	let runs = 0;
	let ingress: Ingress;

	async function send(headers: Record<string, string> = {}, body?: string) {
		return new Promise<{status: number; retryAfter: string | undefined}>((resolve, reject) => {
			const method = headers['content-length'] === undefined ? 'GET' : 'POST';
			const all = {'turmeric-service': 's', 'turmeric-customer': 'c', ...headers};
			const req = request({host: address, port, method, headers: all, agent: false}, (res) => {
				res.resume();
				resolve({status: res.statusCode ?? 0, retryAfter: res.headers['retry-after']});
				req.destroy();
			});
			req.once('error', reject);
			req.flushHeaders();
			if (method === 'GET' || body !== undefined) {
				req.end(body);
			}
		});
	}

	beforeEach(async () => {
		tokens = 10;
		runs = 0;
		verdict = {isAdmitted: true, wait: 0};
		ingress = new Ingress({
			clock: new ManualClock(),
			metrics: new Metrics(),
			logger: silentLogger,
			protocol: new TurmericCallerProtocol('i'),
			keyedCalls: undefined,
			revisions: {isBehind: false, registerListener: () => () => undefined},
			quota: {
				admit() {
					tokens -= verdict.isAdmitted ? 1 : 0;
					return verdict;
				},
				giveBack() {
					tokens += 1;
				},
			},
			configuration: () => index,
			async runCall() {
				runs += 1;
				return {result, attempts: 3, executor: 'e'};
			},
		});
		await ingress.listen(address, port);
	});

	afterEach(() => {
		ingress.close();
	});

	it('refuses a request over the quota before its body arrives, with the time that the quota tells', async () => {
		verdict = {isAdmitted: false, wait: 3000};
		const answer = await send({'content-length': '1000'});
		expect(answer).toEqual({status: 429, retryAfter: '3'});
		expect(runs).toBe(0);
		expect(tokens).toBe(10);
	});

	it('counts a request once for all its attempts', async () => {
		result = {
			end: AttemptEnd.Answered,
			status: 200,
			headers: [],
			body: createBufferedBody(new Uint8Array()),
			load: undefined,
		};
		const answer = await send();
		expect(answer.status).toBe(200);
		expect(tokens).toBe(9);
	});

	it('returns the token of a call that ends refused, as it has not run', async () => {
		result = createRefused(RefusalReason.NoBackend);
		await send();
		expect(tokens).toBe(10);
	});

	it('keeps the token of a call that may have run', async () => {
		result = createUnknown(RefusalReason.AnswerTimeout);
		await send();
		expect(tokens).toBe(9);
	});
});
