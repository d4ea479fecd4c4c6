import {RefusalReason, type LoadReport} from '../call/index.js';
import {minute, type Millis} from '../clock/index.js';

/** Limits how often calls start at a backend server. */
export interface StartLimit {
	/** Calls per second that may start in the long run; undefined while there is no limit. */
	readonly rate: number | undefined;
	/**
	 * Whether starts are spread over time and too few for the calls: calls are then queued only as far as
	 * they can start in time, and start in the order in which they become late.
	 */
	readonly isPaced: boolean;
	/** Why a call that could go elsewhere is refused while {@link untilStart} is above 0. */
	readonly refusal: RefusalReason;
	/** Why a call that would start too late is refused. */
	readonly lateRefusal: RefusalReason;
	/**
	 * @param ahead - number of calls that start first.
	 * @returns time until a call may start, in ms; infinite while none may.
	 */
	untilStart(ahead?: number): Millis;
	/** Records the start of a call. */
	recordStart(): void;
}

/** Upper bound of a reported waiting time; longer than any call waits. */
const maxReportedWait: Millis = minute;

/**
 * @param limit - limit of the backend server.
 * @param queued - number of queued calls.
 * @returns the fields of a load report that tell the limit; none while there is no limit.
 */
export function reportLimit(
	limit: StartLimit,
	queued: number,
): Pick<LoadReport, 'rateLimit' | 'untilStart'> {
	const {rate} = limit;
	if (rate === undefined) {
		return {};
	}

	return {rateLimit: rate, untilStart: Math.min(limit.untilStart(queued), maxReportedWait)};
}

/** Applies several limits at once: a call starts only when all of them allow it. */
export class CombinedStartLimit implements StartLimit {
	constructor(private readonly limits: readonly StartLimit[]) {}

	get rate(): number | undefined {
		let lowest: number | undefined;
		for (const {rate} of this.limits) {
			lowest = rate === undefined ? lowest : Math.min(rate, lowest ?? rate);
		}

		return lowest;
	}

	get isPaced(): boolean {
		return this.limits.some((limit) => limit.isPaced);
	}

	get refusal(): RefusalReason {
		return this.strictest?.refusal ?? RefusalReason.Busy;
	}

	get lateRefusal(): RefusalReason {
		return this.strictest?.lateRefusal ?? RefusalReason.DeadlineTooShort;
	}

	untilStart(ahead?: number): Millis {
		let longest = 0;
		for (const limit of this.limits) {
			longest = Math.max(longest, limit.untilStart(ahead));
		}

		return longest;
	}

	recordStart(): void {
		for (const limit of this.limits) {
			limit.recordStart();
		}
	}

	/** The limit that holds calls back longest; undefined while none does. */
	private get strictest(): StartLimit | undefined {
		let strictest: StartLimit | undefined;
		let longest = 0;
		for (const limit of this.limits) {
			const wait = limit.untilStart();
			if (wait > longest) {
				strictest = limit;
				longest = wait;
			}
		}

		return strictest;
	}
}
