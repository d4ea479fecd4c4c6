export type {Call, CallEnd} from './call.js';
export {CallRunner, type CallRunnerParts} from './call-runner.js';
export {Ingress, type IngressParts} from './ingress.js';
export {
	attemptsHeader,
	customerHeader,
	keyHeader,
	outcomeHeader,
	reasonHeader,
	revisionHeader,
	serviceHeader,
	timeoutHeader,
} from './response-headers.js';
