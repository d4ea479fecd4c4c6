export {decodeQuota, encodeQuota, isQuotaDatagram, QuotaDecodeError} from './quota-codec.js';
export {QuotaAggregator, type CustomerUse, type QuotaParts} from './quota-aggregator.js';
export {
	QuotaBasis,
	QuotaGate,
	type GateFigure,
	type QuotaGateParts,
	type QuotaVerdict,
} from './quota-gate.js';
export {defaultQuotaSettings, type CustomerLimit, type QuotaSettings} from './quota-limit.js';
export {QuotaMembers} from './quota-members.js';
export {QuotaMessageType, type QuotaMessage} from './quota-message.js';
export type {QuotaObserver} from './quota-observer.js';
