import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {DeclarationIndex, RevisionTracker, type CallPolicy} from '../../../declaration/index.js';
import {
	AttemptEnd,
	Cancellation,
	createBufferedBody,
	createUnknown,
	type Attempt,
	type Call,
} from '../../../exchange/index.js';
import type {LinkHub} from '../../../link/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {KeyOwners} from '../../index.js';

const owner = {id: '10.0.0.2:7001', instance: 'i-2'};
const policy: CallPolicy = {
	service: 's',
	customer: '',
	deadline: 1000,
	maxDeadline: 1000,
	idempotentMethods: [],
	idempotentPaths: [],
	maxAttempts: 2,
	retryShare: 0,
	hedgeShare: 0,
	share: 1,
	keyRetention: 1000,
};

function createCall(allowedRegions: readonly string[] | undefined): Call {
	return {
		head: {
			service: 's',
			customer: '',
			method: 'POST',
			path: '/',
			headers: [],
			isIdempotent: false,
			key: 'k',
			origin: {requestId: 'r1', caller: '', route: '', priority: 0},
			fingerprint: 'f',
			allowedRegions,
		},
		policy,
		service: {
			service: 's',
			kind: '',
			queue: 1,
			warmUp: 0,
			probeBudget: 0,
			isOtherRegionAllowed: true,
		},
		index: new DeclarationIndex(1, {deployment: '', services: [], calls: [policy], links: []}),
		deadline: new Deadline(5000),
		objective: new Deadline(5000),
		objectiveDuration: 1000,
		body: createBufferedBody(new Uint8Array(4)),
		cancellation: new Cancellation(),
	};
}

describe('KeyOwners', () => {
	it('sends a call to the owner of its key only if the region of the owner is allowed, and else promises nothing', async () => {
		const sent: Attempt[] = [];
		const hub = {
			connect: async () => ({link: {peer: {...owner, region: 'two'}}}),
			runnerTo: () => ({
				async run(attempt: Attempt) {
					sent.push(attempt);
					return createUnknown(RefusalReason.KeyForgotten);
				},
			}),
		} as unknown as LinkHub;
		const owners = new KeyOwners({
			self: {id: '10.0.0.1:7001', instance: 'i-1'},
			gossip: createTestGossip(new ManualClock(1000)),
			hub,
			revisions: new RevisionTracker(),
			store: undefined,
		});
		// An earlier copy of the request may have run, so that this one must not be told as "not run".
		expect(await owners.send(owner, createCall(['one']))).toEqual({
			end: AttemptEnd.Unknown,
			reason: RefusalReason.KeyNotChecked,
		});
		expect(sent).toHaveLength(0);
		await owners.send(owner, createCall(['one', 'two']));
		await owners.send(owner, createCall(undefined));
		expect(sent.map(({head}) => head.allowedRegions)).toEqual([['one', 'two'], undefined]);
	});
});
