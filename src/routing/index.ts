export {
	LeastOutstandingPolicy,
	RandomPolicy,
	RoundRobinPolicy,
	StaleReportPolicy,
} from './baselines.js';
export {findCandidates, isOtherRegionNeeded, type Candidates} from './candidates.js';
export {isPlaceRefusal, reasonWithoutExecutor} from './placement-reason.js';
export {callKind, type AttemptOutcome, type Placement, type PlacementQuery} from './placement.js';
export {
	ObjectivePlacement,
	type ObjectivePlacementDependencies,
	type TransferCosts,
} from './objective-placement.js';
export {CallProfiles, isScalableSpeed, isUsualSpeed, type CallProfile} from './call-profiles.js';
export {
	ZoneDecisions,
	zoneOf,
	type SpilloverChange,
	type ZoneFigures,
	type ZonePlan,
} from './zone-decisions.js';
export {Exclusion, findExclusion} from './exclusions.js';
export type {CandidateExplanation, LossParts, PlacementExplanation} from './explanation.js';
export {noRoom} from './zone-spillover.js';
export {WeightedSplit} from './weighted-split.js';
export {ExpectedWaitPolicy} from './expected-wait-policy.js';
export type {RoutingPolicy, RoutingQuery} from './routing-policy.js';
export {transferTime} from './transfer-time.js';
