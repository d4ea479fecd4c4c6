import {describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {
	AttemptEnd,
	Cancellation,
	createRefused,
	createUnknown,
	createBufferedBody,
	type AttemptResult,
} from '../../../exchange/index.js';
import {withResolvers} from '../../../util/index.js';
import {HedgeRace} from '../../hedge.js';

function createAttempt() {
	const {promise, resolve} = withResolvers<AttemptResult>();
	return {cancellation: new Cancellation(), result: promise, resolve};
}

function answer(status: number): AttemptResult {
	return {
		end: AttemptEnd.Answered,
		status,
		headers: [],
		body: createBufferedBody(new Uint8Array()),
		load: undefined,
	};
}

describe('HedgeRace', () => {
	it('resolves with the first successful answer and cancels the other attempt', async () => {
		const first = createAttempt();
		const second = createAttempt();
		const race = new HedgeRace(first);
		race.add(second);
		second.resolve(answer(200));
		expect(await race.result).toMatchObject({status: 200});
		expect(first.cancellation.isCanceled).toBe(true);
		expect(second.cancellation.isCanceled).toBe(false);
	});

	it.each([
		['a refusal', createRefused(RefusalReason.Busy)],
		['an error response of the backend server', answer(500)],
	])('does not resolve with %s while another attempt is pending', async (_name, result) => {
		const first = createAttempt();
		const second = createAttempt();
		const race = new HedgeRace(first);
		race.add(second);
		first.resolve(result);
		second.resolve(answer(200));
		expect(await race.result).toMatchObject({status: 200});
	});

	it('resolves with the result of the only attempt when it fails', async () => {
		const first = createAttempt();
		const race = new HedgeRace(first);
		first.resolve(answer(500));
		expect(await race.result).toMatchObject({status: 500});
	});

	it.each([
		['an attempt that may have run', createUnknown(RefusalReason.BackendLost), AttemptEnd.Unknown],
		['an error response of the backend server', answer(500), AttemptEnd.Answered],
	])('does not resolve with a refusal after %s', async (_name, result, end) => {
		const first = createAttempt();
		const second = createAttempt();
		const race = new HedgeRace(first);
		race.add(second);
		first.resolve(result);
		second.resolve(createRefused(RefusalReason.Busy));
		expect(await race.result).toMatchObject({end});
	});

	it('prefers an error response of the backend server to an attempt without an answer', async () => {
		const first = createAttempt();
		const second = createAttempt();
		const race = new HedgeRace(first);
		race.add(second);
		first.resolve(answer(500));
		second.resolve(createUnknown(RefusalReason.BackendLost));
		expect(await race.result).toMatchObject({status: 500});
	});
});
