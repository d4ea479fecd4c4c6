export {BackendClient, type BackendSender, type BackendTarget} from './backend-client.js';
export type {BackendCallListener, WriteGate} from './backend-call.js';
export {Executor, type CrashWatch, type ExecutorDependencies, type ZoneGuard} from './executor.js';
export {
	AnswerKind,
	parseRate,
	TurmericBackendProtocol,
	type AnswerHead,
	type BackendLoad,
	type BackendNotice,
	type BackendProtocol,
} from './backend-protocol.js';
export {hasHeader, headerValue, stripHeaders} from './headers.js';
