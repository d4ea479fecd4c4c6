import {Readable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {
	AttemptEnd,
	Cancellation,
	createRefused,
	createUnknown,
	createBufferedBody,
	createStreamBody,
	type AttemptResult,
} from '../../../exchange/index.js';
import {withResolvers} from '../../../util/index.js';
import {HedgeRace} from '../../hedge.js';

function createAttempt() {
	const {promise, resolve} = withResolvers<AttemptResult>();
	return {cancellation: new Cancellation(), result: promise, resolve};
}

function answer(status: number, stream?: Readable): AttemptResult {
	const body = stream ? createStreamBody(stream) : createBufferedBody(new Uint8Array());
	return {end: AttemptEnd.Answered, status, headers: [], body, load: undefined};
}

function createStream(): Readable {
	return new Readable({read: () => undefined});
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

	// Guards against a body that nobody reads, which keeps a slot of its backend server until the deadline.
	it.each([
		[500, 200],
		[500, 500],
		[200, 500],
		[200, 200],
	])('ends the streamed answers that are not passed on (%i, then %i)', async (one, other) => {
		const first = createAttempt();
		const second = createAttempt();
		const streams = [createStream(), createStream()];
		const race = new HedgeRace(first);
		race.add(second);
		first.resolve(answer(one, streams[0]));
		second.resolve(answer(other, streams[1]));
		const result = await race.result;
		await second.result;
		const passedOn = result.end === AttemptEnd.Answered ? result.body.stream : undefined;
		for (const stream of streams) {
			expect(stream.destroyed).toBe(stream !== passedOn);
		}
	});
});
