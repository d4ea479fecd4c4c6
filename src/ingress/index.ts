export type {BudgetBursts} from './call-budgets.js';
export type {CallQuota, CallQuotaVerdict} from './call-quota.js';
export {CallRunner, type CallRunnerDependencies} from './call-runner.js';
export {
	RefusedRequestError,
	type CallerProtocol,
	type CallParameters,
	type RefusalNotice,
} from './caller-protocol.js';
export {NearestFirstPlacement} from './nearest-first-placement.js';
export {TurmericCallerProtocol} from './turmeric-caller-protocol.js';
export type {CustomerUse} from './customer-usage.js';
export {Ingress, type IngressDependencies} from './ingress.js';
export {
	attemptsHeader,
	customerHeader,
	keyHeader,
	outcomeHeader,
	reasonHeader,
	requestIdHeader,
	revisionHeader,
	serviceHeader,
	timeoutHeader,
} from './response-headers.js';
export {ElapsedEstimator} from './elapsed-estimator.js';
