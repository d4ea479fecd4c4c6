import type {LoadReport} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {Distance, distanceBetween, type Member} from '../membership/index.js';
import {sample, type Random} from '../random/index.js';
import {ExecutorViews, type ExecutorView} from './executor-view.js';
import type {RoutingPolicy, RoutingQuery} from './routing-policy.js';

/** Network round-trip time of an attempt and its answer, by distance, in ms. */
const roundTrips: Readonly<Record<Distance, Millis>> = {
	[Distance.SameZone]: 0.3,
	[Distance.SameRegion]: 2.5,
	[Distance.OtherRegion]: 17,
};

const sampleSize = 3;
const defaultServiceTime: Millis = 10;
const defaultSlots = 10;
/** Decay of a load report, in service times: it is outdated once the calls that it counted have ended. */
const loadDecayInServiceTimes = 2;
/** A reported service time has full weight for 3 s; then its weight falls linearly to 0 within 5 s. */
const serviceTimeFreshPeriod: Millis = 3 * second;
const serviceTimeDecayPeriod: Millis = 5 * second;
const failurePenalty = 20;
const avoidPenalty: Millis = 10 * second;

/** Mean load from other ingresses and median service time of the executors of a service. */
type ServiceStatistics = {othersLoad: number; serviceTime: Millis};
type Dependencies = {clock: Pick<Clock, 'now'>; random: Random; self: () => Member};

/**
 * Chooses the best of a few sampled candidates by expected time to the answer. The last report of an
 * executor is corrected by the attempts sent to it since, and decays to the averages of its service.
 * Source: Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 */
export class ExpectedWaitPolicy implements RoutingPolicy {
	private readonly views = new ExecutorViews();

	constructor(private readonly deps: Dependencies) {}

	choose(query: RoutingQuery): Member {
		const statistics = this.statistics(query.candidates);
		const sampled = sample(query.candidates, sampleSize, this.deps.random);
		let best = sampled[0]!;
		let bestTime = Number.POSITIVE_INFINITY;
		for (const candidate of sampled) {
			const time = this.expectedTime(candidate, statistics);
			if (time < bestTime) {
				best = candidate;
				bestTime = time;
			}
		}

		return best;
	}

	/**
	 * @param candidates - members of one service.
	 * @returns the shortest expected time to an answer among them, in ms.
	 */
	bestExpectedTime(candidates: readonly Member[]): Millis {
		const statistics = this.statistics(candidates);
		let best = Number.POSITIVE_INFINITY;
		for (const candidate of candidates) {
			best = Math.min(best, this.expectedTime(candidate, statistics));
		}

		return best;
	}

	recordSent(id: string): void {
		this.views.recordSent(id, this.deps.clock.now());
	}

	recordEnded(id: string, sentAt: Millis, load: LoadReport | undefined): void {
		this.views.recordEnded(id, sentAt);
		if (load) {
			this.views.recordLoad(id, load, this.deps.clock.now());
		}
	}

	/**
	 * Avoids an executor for some time while another is available.
	 * @param id - the executor.
	 * @param duration - how long to avoid it, in ms.
	 */
	avoid(id: string, duration: Millis): void {
		this.views.of(id).avoidUntil = this.deps.clock.now() + duration;
	}

	/**
	 * Removes the state of an executor that is gone.
	 * @param id - the executor.
	 */
	forget(id: string): void {
		this.views.forget(id);
	}

	private expectedTime(candidate: Member, statistics: ServiceStatistics): Millis {
		const now = this.deps.clock.now();
		const view = this.views.of(candidate.id);
		const slots = view.load?.slots ?? (candidate.slots > 0 ? candidate.slots : defaultSlots);
		const serviceTime = estimateServiceTime(view, statistics, now);
		const load = estimateLoad(view, statistics, now);
		const waiting = Math.max(0, load + 1 - slots);
		// Concurrent calls slow each other down even before all slots are busy.
		const contention = Math.min(1, load / slots) / 2;
		const failures = failurePenalty * (view.load?.failureShare ?? 0);
		const time = serviceTime * (1 + contention + failures + waiting / slots);
		const avoidance = now < view.avoidUntil ? avoidPenalty : 0;
		return roundTrips[distanceBetween(this.deps.self(), candidate)] + time + avoidance;
	}

	private statistics(candidates: readonly Member[]): ServiceStatistics {
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

		// The median keeps one straggler from making the other executors look slow.
		serviceTimes.sort((a, b) => a - b);
		const serviceTime = serviceTimes[Math.floor((count - 1) / 2)] ?? defaultServiceTime;
		return {othersLoad: count > 0 ? load / count : 0, serviceTime};
	}
}

// Load from other ingresses; the ingress knows its own attempts without a report.
function othersLoad(view: ExecutorView, report: LoadReport): number {
	return Math.max(0, report.inFlight + report.queued - view.outstandingAtReport);
}

function estimateLoad(view: ExecutorView, statistics: ServiceStatistics, now: Millis): number {
	if (!view.load) {
		return view.outstanding + statistics.othersLoad;
	}

	const age = now - view.reportedAt;
	const horizon = loadDecayInServiceTimes * Math.max(1, view.load.serviceTime);
	const freshness = 1 / (1 + age / horizon);
	const others = freshness * othersLoad(view, view.load) + (1 - freshness) * statistics.othersLoad;
	return view.outstanding + others;
}

// Attempts in flight for longer than usual reveal a slow executor before they end.
function estimateServiceTime(
	view: ExecutorView,
	statistics: ServiceStatistics,
	now: Millis,
): Millis {
	const meanAge = view.outstanding > 0 ? now - view.sentAtSum / view.outstanding : 0;
	return Math.max(meanAge, reportedServiceTime(view, statistics, now));
}

function reportedServiceTime(
	view: ExecutorView,
	statistics: ServiceStatistics,
	now: Millis,
): Millis {
	if (!view.load) {
		return statistics.serviceTime;
	}

	const excess = Math.max(0, now - view.reportedAt - serviceTimeFreshPeriod);
	const freshness = Math.max(0, 1 - excess / serviceTimeDecayPeriod);
	return freshness * view.load.serviceTime + (1 - freshness) * statistics.serviceTime;
}
