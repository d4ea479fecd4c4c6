export type {
	CallerLimits,
	CallPolicy,
	CustomerPolicy,
	Declaration,
	LinkBudget,
	RoutePolicy,
	RouteTarget,
	ServicePolicy,
} from './declaration.js';
export {
	applyDelta,
	diffDeclarations,
	sortDeclaration,
	type DeclarationDelta,
} from './declaration-delta.js';
export {DeclarationIndex, isIdempotent} from './declaration-index.js';
export {
	accept,
	emptyHead,
	parseHead,
	stage,
	withAccepted,
	withdraw,
	type HeadRecord,
	type RevisionRecord,
} from './head-record.js';
export {RouteTable} from './route-table.js';
export {renderDeclaration, type DeclarationFiles} from './render.js';
export {
	DeclarationContentError,
	hashContent,
	RevisionTracker,
	serializeDeclaration,
	type KnownRevisions,
} from './revision-tracker.js';
export type {SourceFile} from './template.js';
export {ChangeEvent, changeMachine, ChangeState} from './change-lifecycle.js';
export {ChangeKind, formatChange, planChanges, type PlannedChange} from './plan.js';
export {parseContent} from './revision-tracker.js';
