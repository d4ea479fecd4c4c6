import {Admission, type Ticket} from '../backend/index.js';
import {
	AttemptLedger,
	RefusalReason,
	type AttemptId,
	type AttemptState,
	type LoadReport,
} from '../call/index.js';
import type {Clock} from '../clock/index.js';
import {
	AttemptEnd,
	createRefused,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
} from '../exchange/index.js';
import type {Endpoint} from '../settings/index.js';
import type {Metrics} from '../telemetry/index.js';
import {withResolvers} from '../util/index.js';
import {BackendClient} from './backend-client.js';

/** Keeps back requests that crash backend servers. */
export interface CrashWatch {
	/**
	 * @param fingerprint - of a request.
	 * @returns whether it must not run now.
	 */
	isHeld(fingerprint: string): boolean;
	/** A request was answered, so it does not crash backend servers. */
	noteAnswered(fingerprint: string): void;
	/**
	 * The backend server broke off calls that were in flight.
	 * @param fingerprints - the requests that were in flight.
	 */
	noteBroken(fingerprints: readonly string[]): void;
}

/** What an executor is made of. */
export interface ExecutorParts {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly crashWatch: CrashWatch;
	/** The backend server takes no connections. */
	noteUnreachable(): void;
}

type Target = {client: BackendClient; service: string};

const sweepPeriod = 10;
const expiryPeriod = 1000;

/** Runs attempts on the node's own backend server, and is the only one that can say "not run". */
export class Executor implements AttemptRunner {
	private readonly ledger = new AttemptLedger();
	private readonly admission: Admission;
	private readonly inFlight = new Map<Attempt, Ticket>();
	private target: Target | undefined;
	private isDraining = false;
	private isSweeping = false;

	constructor(private readonly parts: ExecutorParts) {
		this.admission = new Admission(parts.clock, {slots: 1, queue: 0});
		parts.clock.repeat(expiryPeriod, () => {
			this.ledger.expire(parts.clock.now());
		});
	}

	/** Calls that run or wait here. */
	get busy(): number {
		return this.admission.inFlight + this.admission.queued;
	}

	/** Service of the backend server; undefined while there is none. */
	get service(): string | undefined {
		return this.target?.service;
	}

	/**
	 * A backend server has announced itself.
	 * @param endpoint - where it listens.
	 * @param service - the service that it belongs to.
	 * @param connections - connections that it takes at the most.
	 */
	attach(endpoint: Endpoint, service: string, connections: number): void {
		this.target = {client: new BackendClient(endpoint, connections), service};
		this.isDraining = false;
	}

	/** The backend server is gone; what was in flight ends as its connections break. */
	detach(): void {
		this.target?.client.close();
		this.target = undefined;
		this.admission.refuseQueue(RefusalReason.NoBackend);
	}

	/**
	 * @param slots - calls that may run at once.
	 * @param queue - calls that may wait.
	 */
	setLimits(slots: number, queue: number): void {
		this.admission.setLimits({slots, queue});
	}

	/** Takes no new work; what waits is handed back, what runs is finished. */
	drain(): void {
		this.isDraining = true;
		this.admission.refuseQueue(RefusalReason.Draining);
	}

	/** @returns the load of the backend server now. */
	report(): LoadReport {
		return this.admission.report();
	}

	/**
	 * @param id - an attempt.
	 * @returns what became of it; it is fenced if it has not run.
	 */
	askAndFence(id: AttemptId): AttemptState {
		return this.ledger.askAndFence(id, this.parts.clock.now());
	}

	async run(attempt: Attempt): Promise<AttemptResult> {
		const result = await this.admit(attempt);
		if (result.end === AttemptEnd.Refused) {
			if (result.reason === RefusalReason.BackendUnreachable) {
				this.parts.noteUnreachable();
			}

			this.ledger.markRefused(attempt.id);
			this.parts.metrics.attemptRefusals.inc({reason: result.reason});
			return {...result, load: this.report()};
		}

		return result.end === AttemptEnd.Answered ? {...result, load: this.report()} : result;
	}

	private async admit(attempt: Attempt): Promise<AttemptResult> {
		if (!this.ledger.admit(attempt.id, this.parts.clock.now())) {
			return createRefused(RefusalReason.Fenced);
		}

		const reason = this.refusalFor(attempt);
		if (reason !== undefined) {
			return createRefused(reason);
		}

		const {promise, resolve} = withResolvers<AttemptResult>();
		const ticket: Ticket = {
			customer: attempt.head.customer,
			share: attempt.share,
			deadline: attempt.deadline,
			isBounceable: attempt.isBounceable,
			start: () => {
				void this.send(attempt, ticket).then(resolve);
			},
			refuse(refusal) {
				resolve(createRefused(refusal));
			},
		};
		attempt.cancellation.registerListener(() => {
			if (this.admission.withdraw(ticket)) {
				resolve(createRefused(RefusalReason.DeadlinePassed));
			}
		});
		this.admission.request(ticket);
		this.sweepLater();
		return promise;
	}

	// The timer runs only while calls wait, as an idle node should cost next to nothing.
	private sweepLater(): void {
		if (this.isSweeping || this.admission.queued === 0) {
			return;
		}

		this.isSweeping = true;
		this.parts.clock.after(sweepPeriod, () => {
			this.isSweeping = false;
			this.admission.sweep();
			this.sweepLater();
		});
	}

	private refusalFor(attempt: Attempt): RefusalReason | undefined {
		if (this.isDraining) {
			return RefusalReason.Draining;
		}

		if (this.target?.service !== attempt.head.service) {
			return RefusalReason.NoBackend;
		}

		const isHeld = this.parts.crashWatch.isHeld(attempt.head.fingerprint);
		return isHeld ? RefusalReason.Held : undefined;
	}

	private async send(attempt: Attempt, ticket: Ticket): Promise<AttemptResult> {
		const {target} = this;
		if (!target) {
			this.admission.release(ticket, false);
			return createRefused(RefusalReason.NoBackend);
		}

		this.inFlight.set(attempt, ticket);
		const result = await target.client.send(
			attempt,
			{check: () => this.checkBeforeWrite(attempt)},
			{
				ended: (isFailure, isBroken) => {
					this.end(attempt, isFailure, isBroken);
				},
			},
		);
		return result;
	}

	// Nothing lies between this check and the write, so a pause of the process cannot come between.
	private checkBeforeWrite(attempt: Attempt): RefusalReason | undefined {
		if (attempt.cancellation.isCanceled || attempt.deadline.isPast(this.parts.clock.now())) {
			return RefusalReason.DeadlinePassed;
		}

		if (this.parts.crashWatch.isHeld(attempt.head.fingerprint)) {
			return RefusalReason.Held;
		}

		return this.ledger.markRan(attempt.id) ? undefined : RefusalReason.Fenced;
	}

	private end(attempt: Attempt, isFailure: boolean, isBroken: boolean): void {
		const ticket = this.inFlight.get(attempt);
		if (!ticket) {
			return;
		}

		if (isBroken) {
			const fingerprints = [...this.inFlight.keys()].map((other) => other.head.fingerprint);
			this.parts.crashWatch.noteBroken(fingerprints);
		} else if (!isFailure) {
			this.parts.crashWatch.noteAnswered(attempt.head.fingerprint);
		}

		this.inFlight.delete(attempt);
		this.admission.release(ticket, isFailure);
	}
}
