import {TokenBucket} from '../budget/index.js';
import {RefusalReason} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {Coldness, ColdState} from './cold-state.js';
import type {StartLimit} from './start-limit.js';
import {StartWindow} from './start-window.js';

/** What the deployment allows beyond the rate that a cold backend server tolerates. */
export interface ColdAllowance {
	/** Factor of the declared rate. */
	readonly overage: number;
	/** Requests per second in addition to the rate. */
	readonly slack: number;
}

/**
 * Length of the window in which requests are counted. It is longer than the second for which the bound
 * holds, since requests can reach a busy backend server closer to each other than they were sent: with
 * 1.1 s, one counted 12 instead of 11 requests on a loaded machine.
 */
const windowLength: Millis = 1.2 * second;
/**
 * Starts that may follow each other at once after an idle time, in seconds of the rate. Spreading the
 * others over the window lets each of them go to the most valuable call that waits at that time.
 */
const burstSeconds = 0.2;
const minBurst = 1;
/** Missing part of a token that counts as none, as the level is a sum of fractions. */
const tolerance = 1e-6;

/**
 * Bounds the requests that a cold backend server gets in any second. All requests to it pass through the
 * executor beside it, so this count is complete. Requests count while the backend server is warm as well,
 * because it can become cold at any moment.
 */
export class ColdLimit implements StartLimit {
	readonly refusal = RefusalReason.BackendCold;
	readonly lateRefusal = RefusalReason.BackendCold;
	private readonly state = new ColdState();
	private readonly window: StartWindow;
	private readonly closedUntil: Millis;
	private coldRate: number | undefined;
	private pacing: TokenBucket | undefined;

	/**
	 * @param clock - the clock.
	 * @param allowance - allowance of the deployment.
	 * @param isRestart - whether an earlier process may have sent requests in the last second.
	 */
	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		private readonly allowance: ColdAllowance,
		isRestart: boolean,
	) {
		this.window = new StartWindow(clock, windowLength);
		this.closedUntil = isRestart ? clock.now() + windowLength : Number.NEGATIVE_INFINITY;
	}

	/** What is known about the backend server. */
	get coldness(): Coldness {
		return this.state.at(this.clock.now());
	}

	/** Time until the backend server is warm, in ms; infinite if it is not known. */
	get timeLeft(): Millis {
		return this.state.left(this.clock.now());
	}

	/** Whether the service has backend servers that tolerate only a limited rate while they are cold. */
	get hasRate(): boolean {
		return this.coldRate !== undefined;
	}

	/** Maximum number of requests in any second; undefined while there is no limit. */
	get max(): number | undefined {
		const {coldRate, allowance} = this;
		if (coldRate === undefined || this.coldness === Coldness.Warm) {
			return undefined;
		}

		return Math.max(1, Math.floor(coldRate * allowance.overage + allowance.slack));
	}

	get isPaced(): boolean {
		return this.max !== undefined;
	}

	get rate(): number | undefined {
		const {max} = this;
		return max === undefined ? undefined : (max * second) / windowLength;
	}

	/**
	 * @param coldRate - requests per second that a cold backend server tolerates; undefined for any number.
	 */
	setRate(coldRate: number | undefined): void {
		this.coldRate = coldRate;
	}

	/** Forgets all reports, as another backend server is attached. */
	reset(): void {
		this.state.reset();
	}

	/** Treats the backend server as cold until a report that is requested from now on. */
	invalidate(): void {
		this.state.invalidate(this.clock.now());
	}

	/**
	 * Records a report of the backend server.
	 * @param left - remaining cold time, in ms; 0 if it is not cold.
	 * @param sentAt - monotonic time in ms at which the report was requested or, if it was not, received.
	 */
	record(left: Millis, sentAt: Millis): void {
		this.state.record(left, sentAt, this.clock.now());
	}

	untilStart(ahead = 0): Millis {
		const {max, rate, clock} = this;
		if (max === undefined || rate === undefined) {
			this.pacing = undefined;
			return 0;
		}

		const missing = ahead + 1 - this.pacingOf(rate).level;
		const paced = missing <= tolerance ? 0 : (missing / rate) * second;
		return Math.max(paced, this.window.untilFree(max, ahead), this.closedUntil - clock.now());
	}

	recordStart(): void {
		this.window.reserve();
		const {rate} = this;
		if (rate !== undefined) {
			this.pacingOf(rate).charge(1);
		}
	}

	/** @returns whether a request may be sent now: it is checked again immediately before it is written. */
	maySend(): boolean {
		const {max} = this;
		const isOpen = this.clock.now() >= this.closedUntil;
		return max === undefined || (isOpen && this.window.sentCount < max);
	}

	/**
	 * Records that the first byte of a started request is written.
	 * @returns monotonic time in ms at which it counts as sent.
	 */
	recordSent(): Millis {
		return this.window.recordSent();
	}

	/** Records that a started request was not sent. */
	recordUnsent(): void {
		this.window.release();
	}

	/**
	 * Records that a request does not count: the process at the address was another one and told so.
	 * @param sentAt - time that {@link recordSent} returned for it.
	 */
	recordMisdirected(sentAt: Millis): void {
		this.window.forget(sentAt);
	}

	private pacingOf(rate: number): TokenBucket {
		this.pacing ??= new TokenBucket(this.clock, rate, burstSeconds, minBurst);
		this.pacing.setRate(rate);
		return this.pacing;
	}
}
