import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {sendCall} from '../scaffold/deployment/caller.js';
import {Deployment, ports} from '../scaffold/deployment/deployment.js';
import {small} from '../scaffold/deployment/place.js';

describe('a store that was restored from before the claim of an idempotency key', () => {
	const deployment = new Deployment(small, 12);

	beforeAll(async () => {
		await deployment.open();
	});

	afterAll(async () => {
		await deployment.stop();
	});

	it('does not make a call with the key run again at another node', async () => {
		const {version} = await deployment.storeCounts();
		const callId = 'claimed';
		const answers: string[] = [];
		for (const pair of deployment.pairs.slice(0, 2)) {
			const {outcome} = await sendCall({
				node: `${pair.address}:${ports.caller}`,
				service: 'stock',
				customer: 'kuressaare',
				method: 'POST',
				callId,
				key: 'key-1',
			});
			answers.push(outcome);
			await deployment.restoreStore(version);
		}

		expect(answers[0]).toBe('answered');
		expect(deployment.runsOf(callId)).toBe(1);
	});
});
