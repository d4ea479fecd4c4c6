export {Executor, type CrashWatch, type ExecutorParts} from './executor.js';
export {stripHeaders} from './headers.js';
