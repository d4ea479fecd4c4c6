import type {Clock, Millis} from '../../src/clock/index.js';
import {
	AttemptEnd,
	createBufferedBody,
	createRefused,
	createUnknown,
	type Attempt,
	type AttemptResult,
} from '../../src/exchange/index.js';
import type {BackendCallListener, BackendSender, WriteGate} from '../../src/executor/index.js';
import {RefusalReason} from '../../src/call/index.js';
import type {Random} from '../../src/random/index.js';
import type {CallKind, Deployment, Episode} from './workload.js';

/** Collaborators of {@link SimulatedBackend}. */
export interface SimulatedBackendDependencies {
	readonly clock: Clock;
	readonly random: Random;
	readonly deployment: Deployment;
	readonly episode: Episode;
	/** Time at which the episode begins. */
	readonly origin: Millis;
	/** @returns the kind of a call by the name of its route. */
	kindOf(route: string): CallKind;
	/** @returns whether a call that the backend server makes while it runs `parent` succeeds. */
	callNested(kind: string, parent: Attempt): Promise<boolean>;
}

const okStatus = 200;
const errorStatus = 500;
const relativeSpread = 0.3;

/** Backend server of a simulation: a run keeps the speed at which it starts. */
export class SimulatedBackend implements BackendSender {
	private periodSlowdown = 1;
	private running = 0;
	private readonly limitedStarts: Millis[] = [];

	constructor(
		readonly service: string,
		readonly slots: number,
		private readonly index: number,
		private readonly deps: SimulatedBackendDependencies,
	) {
		const {clock, random, deployment} = deps;
		const {share, slowdown, duration} = deployment.slowPeriods;
		const drawSpeed = () => {
			this.periodSlowdown = random.next() < share ? slowdown : 1;
		};

		drawSpeed();
		clock.after(duration * random.next(), () => {
			drawSpeed();
			clock.repeat(duration, drawSpeed);
		});
	}

	/** Factor by which calls that start now take longer than usual, apart from saturation. */
	get slowdown(): number {
		const {clock, episode, origin} = this.deps;
		const faultSlowdown = episode.slowdown(this.service, this.index, clock.now() - origin);
		return this.periodSlowdown * this.coldSlowdown * faultSlowdown;
	}

	/** Time for which the backend server remains slow after its start, in ms. */
	get warmUpLeft(): Millis {
		const {clock, deployment, episode} = this.deps;
		return episode.isColdStart ? Math.max(0, deployment.cold.duration - clock.now()) : 0;
	}

	/** Calls per second that the backend server takes; undefined if it names no limit. */
	get rateLimit(): number | undefined {
		const {clock, episode, origin} = this.deps;
		return episode.rateLimit?.(this.service, this.index, clock.now() - origin);
	}

	/**
	 * @param duration - length of a window, in ms.
	 * @returns the most calls that have started in such a window after the limit was named for as long.
	 */
	mostLimitedStarts(duration: Millis): number {
		const starts = this.limitedStarts;
		const settled = starts.filter((at) => at >= (starts[0] ?? 0) + duration);
		const counts = settled.map((from) =>
			settled.filter((at) => at >= from && at < from + duration),
		);
		return Math.max(0, ...counts.map(({length}) => length));
	}

	async send(
		attempt: Attempt,
		gate: WriteGate,
		listener: BackendCallListener,
	): Promise<AttemptResult> {
		const reason = gate.check();
		if (reason !== undefined) {
			listener.onEnd({isFailure: false, isBroken: false});
			return createRefused(reason);
		}

		if (this.rateLimit !== undefined) {
			this.limitedStarts.push(this.deps.clock.now());
		}

		const startedSlowdown = this.slowdown * this.saturationSlowdown();
		this.running += 1;
		const isServed = await this.run(attempt, startedSlowdown);
		this.running -= 1;
		listener.onNotice({rateLimit: this.rateLimit, isLeaving: false});
		listener.onLoad({
			running: this.running,
			waiting: 0,
			slots: this.slots,
			slowdown: this.slowdown,
		});
		const isFailure = !isServed && !attempt.cancellation.isCanceled;
		listener.onEnd({isFailure, isBroken: false});
		if (attempt.cancellation.isCanceled) {
			return createUnknown(RefusalReason.Canceled);
		}

		const {answerBytes} = this.deps.kindOf(attempt.head.origin.route);
		return {
			end: AttemptEnd.Answered,
			status: isServed ? okStatus : errorStatus,
			headers: [],
			body: createBufferedBody(new Uint8Array(isServed ? answerBytes : 0)),
			load: undefined,
		};
	}

	close(): void {
		// A simulation ends as a whole.
	}

	private get coldSlowdown(): number {
		return this.warmUpLeft > 0 ? this.deps.deployment.cold.slowdown : 1;
	}

	private saturationSlowdown(): number {
		const {share, slowdown} = this.deps.deployment.saturation;
		return this.running + 1 > share * this.slots ? slowdown : 1;
	}

	private async run(attempt: Attempt, slowdown: number): Promise<boolean> {
		const {random, clock, kindOf, callNested} = this.deps;
		const kind = kindOf(attempt.head.origin.route);
		for (const {kind: nestedKind, count, share} of kind.nested) {
			if (random.next() >= share) {
				continue;
			}

			for (let i = 0; i < count; i++) {
				if (!(await callNested(nestedKind, attempt))) {
					return false;
				}
			}
		}

		const duration = kind.work * slowdown * this.drawVariation();
		const timeLeft = attempt.deadline.timeLeft(clock.now());
		await new Promise<void>((resolve) => {
			const undo = clock.after(Math.min(duration, timeLeft), resolve);
			attempt.cancellation.registerListener(() => {
				undo();
				resolve();
			});
		});
		return duration <= timeLeft && !attempt.cancellation.isCanceled;
	}

	// Sum of uniform numbers: mean 1, and about normally distributed.
	private drawVariation(): number {
		let sum = 0;
		for (let i = 0; i < 4; i++) {
			sum += this.deps.random.next() - 0.5;
		}

		return Math.max(0.2, 1 + sum * relativeSpread * Math.sqrt(3));
	}
}
