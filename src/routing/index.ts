export {
	LeastOutstandingPolicy,
	RandomPolicy,
	RoundRobinPolicy,
	StaleReportPolicy,
} from './baselines.js';
export {findCandidates, isOtherRegionNeeded, type Candidates} from './candidates.js';
export {ExpectedWaitPolicy} from './expected-wait-policy.js';
export type {RoutingPolicy, RoutingQuery} from './routing-policy.js';
