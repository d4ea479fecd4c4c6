export {logEvents, LogLevel, type LogEvent} from './log-event.js';
export {createLogger, LogFormat, silentLogger, type LogDetails, type Logger} from './logger.js';
export {AnswerCut, Metrics, PipelineHandling, RetryReason, TrafficKind} from './metrics.js';
