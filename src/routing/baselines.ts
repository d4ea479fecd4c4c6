import type {LoadReport} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {Member} from '../membership/index.js';
import type {Random} from '../random/index.js';
import type {RoutingPolicy, RoutingQuery} from './routing-policy.js';

/** Chooses a candidate at random. */
export class RandomPolicy implements RoutingPolicy {
	constructor(private readonly random: Random) {}

	choose({candidates}: RoutingQuery): Member {
		return candidates[this.random.below(candidates.length)]!;
	}

	recordSent(): void {
		// Random choice keeps no state.
	}

	recordEnded(): void {
		// Random choice keeps no state.
	}
}

/** Chooses the candidates in turn. */
export class RoundRobinPolicy implements RoutingPolicy {
	private next = 0;

	choose({candidates}: RoutingQuery): Member {
		this.next += 1;
		return candidates[this.next % candidates.length]!;
	}

	recordSent(): void {
		// Round robin does not depend on attempts.
	}

	recordEnded(): void {
		// Round robin does not depend on attempts.
	}
}

/** Chooses the candidate with the fewest attempts of this ingress in flight. */
export class LeastOutstandingPolicy implements RoutingPolicy {
	private readonly outstanding = new Map<string, number>();

	constructor(private readonly random: Random) {}

	choose({candidates}: RoutingQuery): Member {
		const start = this.random.below(candidates.length);
		let best = candidates[start]!;
		for (let i = 1; i < candidates.length; i++) {
			const candidate = candidates[(start + i) % candidates.length]!;
			if (this.count(candidate.id) < this.count(best.id)) {
				best = candidate;
			}
		}

		return best;
	}

	recordSent(id: string): void {
		this.outstanding.set(id, this.count(id) + 1);
	}

	recordEnded(id: string): void {
		this.outstanding.set(id, this.count(id) - 1);
	}

	private count(id: string): number {
		return this.outstanding.get(id) ?? 0;
	}
}

/** Chooses the candidate with the least load in its last report, regardless of the age of the report. */
export class StaleReportPolicy implements RoutingPolicy {
	private readonly reports = new Map<string, LoadReport>();

	choose({candidates}: RoutingQuery): Member {
		let best = candidates[0]!;
		for (const candidate of candidates) {
			if (this.load(candidate.id) < this.load(best.id)) {
				best = candidate;
			}
		}

		return best;
	}

	recordSent(): void {
		// Only load reports are considered.
	}

	recordEnded(id: string, _sentAt: Millis, load: LoadReport | undefined): void {
		if (load) {
			this.reports.set(id, load);
		}
	}

	private load(id: string): number {
		const report = this.reports.get(id);
		return report ? report.inFlight + report.queued : 0;
	}
}
