export {Executor, type CrashWatch, type ExecutorParts} from './executor.js';
export {
	AnswerVerdict,
	TurmericBackendProtocol,
	type AnswerHead,
	type BackendLoad,
	type BackendProtocol,
} from './backend-protocol.js';
export {hasHeader, headerValue, stripHeaders} from './headers.js';
