import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	RequestPipeline,
	type PipelinedRequest,
	type PipelineLimits,
} from '../../request-pipeline.js';

const limits: PipelineLimits = {maxForwarded: 4, maxUnanswered: 8, maxHeldBytes: 250};
const answerSize = 100;

enum Kind {
	Safe = 'safe',
	Unsafe = 'unsafe',
	/** Refused before it is forwarded; the connection stays open. */
	Refused = 'refused',
	/** Refused before it is forwarded; what follows it may not be a request. */
	Malformed = 'malformed',
	/** Safe, and the end of its answer is marked by the close of the connection. */
	SafeUndelimited = 'safe-undelimited',
	/** Unsafe, and the end of its answer is marked by the close of the connection. */
	UnsafeUndelimited = 'unsafe-undelimited',
}

enum Step {
	/** The caller sends the next request. */
	Send = 'send',
	/** The backend server answers one of the running requests. */
	Finish = 'finish',
	/** The answer that is being written is complete. */
	Complete = 'complete',
	/** The deadline of a waiting request passes. */
	Expire = 'expire',
	/** The node is told to stop. */
	Drain = 'drain',
	/** Bytes arrive that are no request. */
	Garbage = 'garbage',
	/** The connection is reset. */
	Reset = 'reset',
}

/** A caller's request; it is sent again while it has no answer. */
type Sent = {readonly id: number; readonly kind: Kind; runs: number; answers: number};

const isSafe = ({kind}: Sent) => kind === Kind.Safe || kind === Kind.SafeUndelimited;
const isUndelimited = ({kind}: Sent) =>
	kind === Kind.SafeUndelimited || kind === Kind.UnsafeUndelimited;
const isRefused = ({kind}: Sent) => kind === Kind.Refused || kind === Kind.Malformed;

/** One connection, as the ingress drives it, with a check at each step. */
class ConnectionModel {
	isDraining = false;
	isClosed = false;
	isReset = false;
	isInputEnded = false;
	/** Requests that were read, in order. */
	readonly read: Sent[] = [];
	/** Requests whose answers were written completely, in order. */
	readonly answered: Sent[] = [];
	private writing: Sent | undefined;
	private readonly pipeline = new RequestPipeline(limits, () => this.isDraining);
	private readonly places = new Map<Sent, PipelinedRequest>();
	private readonly running = new Set<Sent>();
	private readonly waiting = new Set<Sent>();
	private readonly ready = new Set<Sent>();

	get isFull(): boolean {
		return this.pipeline.isFull;
	}

	get isWriting(): boolean {
		return this.writing !== undefined;
	}

	get unanswered(): number {
		return this.pipeline.unanswered;
	}

	send(sent: Sent): void {
		const place = this.pipeline.receive();
		expect(place === undefined).toBe(this.isClosed || this.isInputEnded);
		if (!place) {
			return;
		}

		this.read.push(sent);
		this.places.set(sent, place);
		if (isRefused(sent)) {
			place.closesConnection = sent.kind === Kind.Malformed;
			this.pipeline.refuse(place);
			this.ready.add(sent);
			this.hold(sent);
		} else {
			this.waiting.add(sent);
			this.pipeline.wait(place, isSafe(sent));
		}

		this.update();
	}

	finish(choice: number): void {
		const sent = [...this.running][choice % Math.max(1, this.running.size)];
		if (sent) {
			this.running.delete(sent);
			this.ready.add(sent);
			this.places.get(sent)!.closesConnection ||= isUndelimited(sent);
			this.hold(sent);
			this.update();
		}
	}

	expire(choice: number): void {
		const sent = [...this.waiting][choice % Math.max(1, this.waiting.size)];
		if (sent) {
			this.waiting.delete(sent);
			this.pipeline.refuse(this.places.get(sent)!);
			this.ready.add(sent);
			this.hold(sent);
			this.update();
		}
	}

	complete(): void {
		if (this.writing) {
			this.writing.answers += 1;
			this.answered.push(this.writing);
			this.pipeline.complete(this.places.get(this.writing)!);
			this.writing = undefined;
			this.update();
		}
	}

	endInput(): void {
		if (this.unanswered > 0) {
			this.isInputEnded = true;
			this.pipeline.endInput();
		}
	}

	reset(): void {
		this.isClosed = true;
		this.isReset = true;
		this.pipeline.abandon();
		this.running.clear();
		this.waiting.clear();
		this.ready.clear();
		this.writing = undefined;
	}

	/** Lets all that runs end. */
	settle(): void {
		while (this.running.size > 0 || this.writing) {
			this.finish(0);
			this.complete();
		}
	}

	private hold(sent: Sent): void {
		if (!this.pipeline.isNext(this.places.get(sent)!)) {
			this.pipeline.hold(this.places.get(sent)!, answerSize);
		}
	}

	private update(): void {
		let isChanged = true;
		while (isChanged) {
			isChanged = this.forwardNext() || this.answerNext();
		}

		expect(this.running.size).toBeLessThanOrEqual(limits.maxForwarded);
	}

	private forwardNext(): boolean {
		const place = this.pipeline.nextToForward();
		if (!place) {
			return false;
		}

		const sent = [...this.waiting].find((item) => this.places.get(item) === place)!;
		const ahead = this.read.slice(0, this.read.indexOf(sent));
		const pending = ahead.filter((item) => !this.answered.includes(item));
		expect(this.isClosed).toBe(false);
		if (isSafe(sent)) {
			expect(pending.every((item) => isSafe(item) || !this.running.has(item))).toBe(true);
		} else {
			expect(pending).toEqual([]);
		}

		if (this.isDraining) {
			expect(pending).toEqual([]);
		}

		this.pipeline.forward(place);
		sent.runs += 1;
		this.waiting.delete(sent);
		this.running.add(sent);
		return true;
	}

	private answerNext(): boolean {
		const sent = this.writing
			? undefined
			: [...this.ready].find((item) => this.pipeline.isNext(this.places.get(item)!));
		if (!sent) {
			return false;
		}

		const {closes, dropped} = this.pipeline.startAnswer(false);
		this.ready.delete(sent);
		if (closes) {
			this.isClosed = true;
			this.checkClose(sent, dropped);
		}

		this.writing = sent;
		return true;
	}

	// The system closes only behind the last forwarded request, unless the answer itself ends with the connection.
	// Then only safe requests may be behind it: callers send them again.
	private checkClose(sent: Sent, dropped: readonly PipelinedRequest[]): void {
		const lost = this.read.filter((item) => dropped.includes(this.places.get(item)!));
		const forwarded = lost.filter((item) => this.places.get(item)!.isForwarded);
		expect(forwarded.every((item) => isSafe(item))).toBe(true);
		if (!isUndelimited(sent)) {
			expect(forwarded).toEqual([]);
		}

		for (const item of lost) {
			this.running.delete(item);
			this.waiting.delete(item);
			this.ready.delete(item);
		}
	}
}

function play(connection: ConnectionModel, queue: Sent[], step: Step, choice: number): void {
	switch (step) {
		case Step.Send: {
			if (!connection.isFull && queue.length > 0) {
				connection.send(queue.shift()!);
			}

			break;
		}

		case Step.Finish: {
			connection.finish(choice);
			break;
		}

		case Step.Complete: {
			connection.complete();
			break;
		}

		case Step.Expire: {
			connection.expire(choice);
			break;
		}

		case Step.Drain: {
			connection.isDraining = true;
			break;
		}

		case Step.Garbage: {
			connection.endInput();
			break;
		}

		case Step.Reset: {
			connection.reset();
			break;
		}
	}
}

const kinds = fc.array(
	fc.oneof(
		{weight: 6, arbitrary: fc.constant(Kind.Safe)},
		{weight: 4, arbitrary: fc.constant(Kind.Unsafe)},
		{weight: 1, arbitrary: fc.constantFrom(...Object.values(Kind))},
	),
	{minLength: 1, maxLength: 14},
);
const usualSteps = fc.oneof(
	{weight: 3, arbitrary: fc.constant(Step.Send)},
	{weight: 3, arbitrary: fc.constant(Step.Finish)},
	{weight: 3, arbitrary: fc.constant(Step.Complete)},
	{weight: 1, arbitrary: fc.constant(Step.Expire)},
);
const troubles = fc.constantFrom(Step.Drain, Step.Garbage, Step.Reset);

function createRequests(all: readonly Kind[]): Sent[] {
	return all.map((kind, id) => ({id, kind, runs: 0, answers: 0}));
}

describe('RequestPipeline', () => {
	it('answers every request of a connection without a fault once, in order', () => {
		const harmless = kinds.map((all) =>
			all.map((kind) => (kind.startsWith('unsafe') ? Kind.Unsafe : Kind.Safe)),
		);
		fc.assert(
			fc.property(harmless, fc.array(fc.tuple(usualSteps, fc.nat(20))), (all, steps) => {
				const requests = createRequests(all);
				const queue = [...requests];
				const connection = new ConnectionModel();
				for (const [step, choice] of steps) {
					play(connection, queue, step, choice);
				}

				while (queue.length > 0 || connection.unanswered > 0) {
					play(connection, queue, Step.Send, 0);
					connection.settle();
				}

				expect(connection.answered).toEqual(requests);
				expect(requests.every(({runs, answers}) => runs <= 1 && answers === 1)).toBe(true);
				expect(connection.isClosed).toBe(false);
			}),
			{numRuns: 1000},
		);
	});

	// A stop, a reset or garbage comes at each point of the sequence in turn. Callers send again what was not answered.
	it('runs nothing twice and leaves nothing forwarded unanswered, wherever a stop, a reset or garbage comes', () => {
		const plan = fc.record({
			all: kinds,
			steps: fc.array(fc.tuple(usualSteps, fc.nat(20)), {minLength: 4, maxLength: 30}),
			trouble: troubles,
		});
		fc.assert(
			fc.property(plan, ({all, steps, trouble}) => {
				for (let point = 0; point <= steps.length; point += 1) {
					const requests = createRequests(all);
					const first = new ConnectionModel();
					const queue = [...requests];
					for (const [i, [step, choice]] of steps.entries()) {
						if (i === point) {
							play(first, queue, trouble, 0);
						}

						play(first, queue, step, choice);
					}

					if (point === steps.length) {
						play(first, queue, trouble, 0);
					}

					first.settle();
					const isUndelimitedClose = first.answered.some((item) => isUndelimited(item));
					for (const sent of first.read) {
						const isLost = sent.runs > 0 && sent.answers === 0;
						const isExcused = first.isReset || (isUndelimitedClose && isSafe(sent));
						expect(isLost && !isExcused).toBe(false);
					}

					// What is unanswered counts as not read and is sent again, each request on a connection of its own; after a
					// reset only what is safe.
					for (const sent of requests.filter(({answers}) => answers === 0)) {
						if (!first.isReset || isSafe(sent)) {
							const next = new ConnectionModel();
							next.send(sent);
							next.settle();
						}
					}

					for (const sent of requests) {
						expect(sent.answers).toBeLessThanOrEqual(1);
						expect(sent.runs > 1 && !isSafe(sent)).toBe(false);
					}
				}
			}),
			{numRuns: 300},
		);
	});

	it('closes the connection while draining as soon as the forwarded requests are answered', () => {
		fc.assert(
			fc.property(kinds, fc.nat(14), fc.array(fc.nat(20)), (all, sent, choices) => {
				const connection = new ConnectionModel();
				for (const item of createRequests(all).slice(0, sent)) {
					if (!connection.isFull) {
						connection.send(item);
					}
				}

				connection.isDraining = true;
				const isStarted = connection.isWriting;
				const wasUnanswered = connection.unanswered;
				for (const choice of choices) {
					connection.finish(choice);
				}

				connection.settle();
				expect(connection.unanswered).toBe(0);
				// An answer whose head was written before says nothing of a close; the next request closes.
				expect(connection.isClosed || wasUnanswered <= (isStarted ? 1 : 0)).toBe(true);
			}),
			{numRuns: 1000},
		);
	});

	it('forwards no further request while too many bytes of answers wait', () => {
		const pipeline = new RequestPipeline({...limits, maxHeldBytes: 150}, () => false);
		const [first, second, third, fourth] = Array.from({length: 4}, () => {
			const request = pipeline.receive()!;
			pipeline.wait(request, true);
			return request;
		});
		pipeline.forward(first!);
		pipeline.forward(second!);
		pipeline.hold(second!, answerSize);
		expect(pipeline.nextToForward()).toBe(third);
		pipeline.forward(third!);
		pipeline.hold(third!, answerSize);
		expect(pipeline.nextToForward()).toBeUndefined();
		pipeline.complete(first!);
		pipeline.complete(second!);
		expect(pipeline.nextToForward()).toBe(fourth);
	});

	it('takes back the permission of a request whose route has become unsafe', () => {
		const pipeline = new RequestPipeline(limits, () => false);
		const first = pipeline.receive()!;
		const second = pipeline.receive()!;
		pipeline.wait(first, true);
		pipeline.forward(first);
		pipeline.wait(second, true);
		pipeline.forward(second);
		pipeline.wait(second, false);
		expect(pipeline.nextToForward()).toBeUndefined();
		pipeline.complete(first);
		expect(pipeline.nextToForward()).toBe(second);
	});
});
