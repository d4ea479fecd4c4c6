import {Deadline, type RequestHead} from '../../call/index.js';
import {Cancellation, createBufferedBody, type Attempt} from '../index.js';

/** What differs from the attempt that tests share. */
export interface AttemptChange extends Partial<Omit<Attempt, 'head'>> {
	readonly head?: Partial<RequestHead>;
	/** Id of the request; also part of its origin. */
	readonly requestId?: string;
}

/**
 * @param change - what differs.
 * @returns an attempt to run an idempotent request without a body.
 */
export function createTestAttempt({
	head,
	requestId = 'r1',
	...change
}: AttemptChange = {}): Attempt {
	return {
		id: {instance: 'i', sequence: 1},
		head: {
			service: 's',
			customer: '',
			method: 'GET',
			path: '/',
			headers: [],
			isIdempotent: true,
			key: undefined,
			origin: {requestId, caller: 'c', route: 'r', priority: 0},
			fingerprint: 'f',
			...head,
		},
		share: 1,
		deadline: new Deadline(10_000),
		objective: new Deadline(10_000),
		canRetryElsewhere: false,
		body: createBufferedBody(new Uint8Array()),
		cancellation: new Cancellation(),
		...change,
	};
}
