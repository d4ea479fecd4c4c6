export {BackendClient, type BackendSender, type BackendTarget} from './backend-client.js';
export type {BackendCallListener, WriteGate} from './backend-call.js';
export {Executor, type CrashWatch, type ExecutorDependencies, type ZoneGuard} from './executor.js';
export {
	AnswerKind,
	classifyAnswer,
	isAnswerStatus,
	isUnsoundReport,
	NamedId,
	type AnswerEvidence,
} from './answer-table.js';
export {
	parseNonNegative,
	TurmericBackendProtocol,
	type AnswerHead,
	type BackendLoad,
	type BackendNotice,
	type BackendProtocol,
	type SentRequest,
} from './backend-protocol.js';
export {createHealthConnector} from './health-connector.js';
export {PlaceCheck, type PlaceCheckDependencies} from './place-check.js';
export {BodyFraming, isFramed, mayHaveContent} from './body-framing.js';
export {hasHeader, headerValue, stripHeaders} from './headers.js';
