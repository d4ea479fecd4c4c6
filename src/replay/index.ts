export type {BackendEntry, BackendPeak, Books, CallerEntry, Departure} from './books.js';
export {checkInvariants, Invariant, type InvariantResult} from './invariants.js';
export {
	countOutcomes,
	goodput,
	percentilesOf,
	type OutcomeCount,
	type Percentiles,
} from './summary.js';
export {
	FaultKind,
	formatTrace,
	parseTrace,
	TraceEventKind,
	type CallEvent,
	type FaultEvent,
	type TraceEvent,
} from './trace.js';
