import type {RefusalReason} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {Member} from '../membership/index.js';
import type {Exclusion} from './exclusions.js';
import type {ZoneFigures} from './zone-decisions.js';

/** Parts of the expected loss of a call at one executor; their sum decides. */
export interface LossParts {
	/** Probability of a late answer, weighted by the value that is lost. */
	readonly lateness: number;
	/** Price of the bytes. */
	readonly transfer: number;
	/** Preference for the faster of two executors that answer in time. */
	readonly time: number;
	/** Recent failures of the backend server. */
	readonly failure: number;
	/** The executor is avoided, as it was lost or is leaving. */
	readonly avoided: number;
	/** The zone of the executor is short for its own callers. */
	readonly shortZone: number;
}

/** An executor that a call could be sent to. */
export interface CandidateExplanation {
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	/** Rule by which it gets no attempt of the call; undefined if it may get one. */
	readonly exclusion: Exclusion | undefined;
	/** Whether the decision on zones keeps the call from it. */
	readonly isZoneClosed: boolean;
	/** Expected time until the answer, in ms. */
	readonly time: Millis;
	/** Expected loss: the candidate with the least one is chosen. */
	readonly loss: number;
	readonly parts: LossParts;
	/** Age of its load report, in ms; undefined if it has reported none. */
	readonly reportAge: Millis | undefined;
}

/** Where a call would go now, and why. */
export interface PlacementExplanation {
	/** Executor that the call would be sent to; undefined if it would be refused. */
	readonly chosen: string | undefined;
	/** Reason of the refusal; undefined if it would be sent. */
	readonly refusal: RefusalReason | undefined;
	/** All members of the service, the one with the least loss first. */
	readonly candidates: readonly CandidateExplanation[];
	/** Zone that the call would leave for by the decided share; undefined for none. */
	readonly destination: string | undefined;
	/** Figures of the decision on zones; undefined if none is made. */
	readonly zones: ZoneFigures | undefined;
}

/** Member with its evaluation for one call. */
export interface Evaluation {
	readonly member: Member;
	readonly time: Millis;
	readonly loss: number;
	readonly parts: LossParts;
}
