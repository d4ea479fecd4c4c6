export type {AttemptId} from './attempt-id.js';
export {AttemptLedger, AttemptState} from './attempt-ledger.js';
export {Deadline} from './deadline.js';
export type {LoadReport, ZoneReport} from './load-report.js';
export {Outcome} from './outcome.js';
export {refusals, RefusalReason, type Refusal} from './refusal-reason.js';
export {
	commonRegions,
	isRegionAllowed,
	type HeaderList,
	type RequestHead,
	type RequestOrigin,
} from './request-head.js';
export {CrashGuard, type CrashReport, type Hold} from './crash-guard.js';
export {
	KeyLedger,
	KeyState,
	KeyVerdict,
	type KeyLedgerLimits,
	type KeyRecord,
} from './key-ledger.js';
