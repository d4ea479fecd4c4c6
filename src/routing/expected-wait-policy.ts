import type {LoadReport} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {Distance, distanceBetween, type Member} from '../membership/index.js';
import {sample, type Random} from '../random/index.js';
import {ExecutorViews, type ExecutorView} from './executor-view.js';
import type {RoutingPolicy, RoutingQuery} from './routing-policy.js';

/** Time that an attempt and its answer spend on the way, by distance, in ms. */
const roundTrips: Readonly<Record<Distance, Millis>> = {
	[Distance.SameZone]: 0.3,
	[Distance.SameRegion]: 2.5,
	[Distance.OtherRegion]: 17,
};

const sampleSize = 3;
const defaultServiceTime: Millis = 10;
const defaultSlots = 10;
/** A report of load tells little once the calls it counted have been replaced by others. */
const loadTrustInServiceTimes = 2;
/** A report of service time is believed for so long, and then less and less. */
const serviceTimeTrust: Millis = 3 * second;
const serviceTimeFade: Millis = 5 * second;
const failurePenalty = 20;
const avoidPenalty: Millis = 10 * second;

/** What is usual among the executors of a service. */
type Siblings = {othersLoad: number; serviceTime: Millis};
type Parts = {clock: Pick<Clock, 'now'>; random: Random; self: () => Member};

/**
 * Takes the better of two sampled candidates by expected time to the answer. What an executor last
 * reported is corrected by what was sent to it since, and fades towards the mean of its siblings.
 * Source: Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 */
export class ExpectedWaitPolicy implements RoutingPolicy {
	private readonly views = new ExecutorViews();

	constructor(private readonly parts: Parts) {}

	choose(query: RoutingQuery): Member {
		const siblings = this.siblings(query.candidates);
		const drawn = sample(query.candidates, sampleSize, this.parts.random);
		let best = drawn[0]!;
		let bestTime = Number.POSITIVE_INFINITY;
		for (const candidate of drawn) {
			const time = this.expectedTime(candidate, siblings);
			if (time < bestTime) {
				best = candidate;
				bestTime = time;
			}
		}

		return best;
	}

	/**
	 * @param candidates - members of one service.
	 * @returns the shortest time to an answer that any of them is expected to need, in ms.
	 */
	bestExpectedTime(candidates: readonly Member[]): Millis {
		const siblings = this.siblings(candidates);
		let best = Number.POSITIVE_INFINITY;
		for (const candidate of candidates) {
			best = Math.min(best, this.expectedTime(candidate, siblings));
		}

		return best;
	}

	recordSent(id: string): void {
		this.views.recordSent(id, this.parts.clock.now());
	}

	recordEnded(id: string, sentAt: Millis, load: LoadReport | undefined): void {
		this.views.recordEnded(id, sentAt);
		if (load) {
			this.views.recordLoad(id, load, this.parts.clock.now());
		}
	}

	/**
	 * Gives an executor no work for a while where another can take it.
	 * @param id - the executor.
	 * @param span - for how long, in ms.
	 */
	avoid(id: string, span: Millis): void {
		this.views.of(id).avoidUntil = this.parts.clock.now() + span;
	}

	/**
	 * Forgets an executor that is gone.
	 * @param id - the executor.
	 */
	forget(id: string): void {
		this.views.forget(id);
	}

	private expectedTime(candidate: Member, siblings: Siblings): Millis {
		const now = this.parts.clock.now();
		const view = this.views.of(candidate.id);
		const slots = view.load?.slots ?? (candidate.slots > 0 ? candidate.slots : defaultSlots);
		const serviceTime = estimateServiceTime(view, siblings, now);
		const load = estimateLoad(view, siblings, now);
		const waiting = Math.max(0, load + 1 - slots);
		// Calls that share a backend server slow each other down even before they wait.
		const busyness = Math.min(1, load / slots) / 2;
		const failures = failurePenalty * (view.load?.failureShare ?? 0);
		const time = serviceTime * (1 + busyness + failures + waiting / slots);
		const avoidance = now < view.avoidUntil ? avoidPenalty : 0;
		return roundTrips[distanceBetween(this.parts.self(), candidate)] + time + avoidance;
	}

	private siblings(candidates: readonly Member[]): Siblings {
		let load = 0;
		let count = 0;
		const serviceTimes: Millis[] = [];
		for (const candidate of candidates) {
			const view = this.views.of(candidate.id);
			const report = view.load;
			if (report) {
				count += 1;
				load += othersLoad(view, report);
				serviceTimes.push(report.serviceTime);
			}
		}

		// The median, as one straggler must not make its siblings look slow.
		serviceTimes.sort((a, b) => a - b);
		const serviceTime = serviceTimes[Math.floor((count - 1) / 2)] ?? defaultServiceTime;
		return {othersLoad: count > 0 ? load / count : 0, serviceTime};
	}
}

// Work that other ingresses had there; an ingress need not be told of its own.
function othersLoad(view: ExecutorView, report: LoadReport): number {
	return Math.max(0, report.inFlight + report.queued - view.outstandingAtReport);
}

function estimateLoad(view: ExecutorView, siblings: Siblings, now: Millis): number {
	if (!view.load) {
		return view.outstanding + siblings.othersLoad;
	}

	const age = now - view.reportedAt;
	const horizon = loadTrustInServiceTimes * Math.max(1, view.load.serviceTime);
	const trust = 1 / (1 + age / horizon);
	const others = trust * othersLoad(view, view.load) + (1 - trust) * siblings.othersLoad;
	return view.outstanding + others;
}

// Attempts that are out for longer than usual tell of a slow executor before they end.
function estimateServiceTime(view: ExecutorView, siblings: Siblings, now: Millis): Millis {
	const meanAge = view.outstanding > 0 ? now - view.sentAtSum / view.outstanding : 0;
	return Math.max(meanAge, reportedServiceTime(view, siblings, now));
}

function reportedServiceTime(view: ExecutorView, siblings: Siblings, now: Millis): Millis {
	if (!view.load) {
		return siblings.serviceTime;
	}

	const excess = Math.max(0, now - view.reportedAt - serviceTimeTrust);
	const trust = Math.max(0, 1 - excess / serviceTimeFade);
	return trust * view.load.serviceTime + (1 - trust) * siblings.serviceTime;
}
