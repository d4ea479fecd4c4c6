import type {Millis} from '../clock/index.js';

/** Kinds of quota message; the values are part of the wire format and differ from those of gossip messages. */
export enum QuotaMessageType {
	/** Requests that a node has counted since its last report. */
	Report = 32,
	/** Answer to a report: the customers over their limit. */
	Shares = 33,
	/** Requests that the nodes of a zone have counted, between aggregators. */
	Sum = 34,
	/** Answer to a sum. */
	SumAck = 35,
}

/** The sending node. */
export interface QuotaSender {
	readonly id: string;
	/** Incarnation of the member; numbers of batches start anew with each. */
	readonly incarnation: number;
}

/** Requests of one customer in a batch. */
export interface QuotaCount {
	readonly customer: string;
	/** Requests that were admitted, less those whose token was returned. */
	readonly admitted: number;
	/** Requests that arrived, whether they were admitted or not. */
	readonly requested: number;
}

/** Counts that are sent again under the same number until they are acknowledged. */
export interface QuotaBatch {
	/** Number of the batch; increases by 1 with each batch for a receiver. */
	readonly sequence: number;
	readonly counts: readonly QuotaCount[];
}

/** Share of the requests of a customer that may run. */
export interface QuotaShare {
	readonly customer: string;
	/** From 0 to 1. */
	readonly share: number;
	/** Requests per second over all nodes, as far as the aggregator knows. */
	readonly demand: number;
	/** Time until a refused request is expected to be admitted, in ms. */
	readonly wait: Millis;
}

export interface QuotaReport {
	readonly type: QuotaMessageType.Report;
	readonly sender: QuotaSender;
	readonly batch: QuotaBatch;
	/** Whether another aggregator answered the sender recently. */
	readonly isTakeover: boolean;
}

export interface QuotaShares {
	readonly type: QuotaMessageType.Shares;
	readonly sender: QuotaSender;
	/** Number of the batch that is acknowledged; 0 if none is, as the shares are told without a report. */
	readonly sequence: number;
	/** Whether the aggregator is too new to know the demand; earlier shares stay in force. */
	readonly isLearning: boolean;
	/** Part of each limit that is not set aside for nodes that cannot report, from 0 to 1. */
	readonly reach: number;
	/** Customers whose share is below 1. */
	readonly shares: readonly QuotaShare[];
}

export interface QuotaSum {
	readonly type: QuotaMessageType.Sum;
	readonly sender: QuotaSender;
	readonly batch: QuotaBatch;
	/** Whether no further sum follows until the zone has requests to tell of. */
	readonly isLast: boolean;
}

export interface QuotaSumAck {
	readonly type: QuotaMessageType.SumAck;
	readonly sender: QuotaSender;
	readonly sequence: number;
}

export type QuotaMessage = QuotaReport | QuotaShares | QuotaSum | QuotaSumAck;
