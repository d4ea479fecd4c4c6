import type {Clock, Millis} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import type {CallQuota, CallQuotaVerdict} from '../ingress/index.js';
import type {Gossip} from '../membership/index.js';
import {
	QuotaAggregator,
	QuotaGate,
	QuotaMembers,
	QuotaMessageType,
	type CustomerLimit,
	type QuotaBasis,
	type QuotaMessage,
	type QuotaObserver,
	type QuotaParts,
	type QuotaSettings,
	type QuotaVerdict,
} from '../quota/index.js';
import type {Random} from '../random/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';

/** Collaborators of {@link QuotaAgent}. */
export interface QuotaAgentDependencies {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly gossip: Gossip;
	readonly revisions: RevisionTracker;
	readonly settings: QuotaSettings;
	/** Sends a message to another node. */
	send(to: string, message: QuotaMessage): void;
}

/** Who knows the use that a {@link QuotaFigure} gives. */
export enum QuotaView {
	/** This node aggregates; the use is that of all nodes that report. */
	AllNodes = 'all-nodes',
	/** The use is that of this node only. */
	OwnNode = 'own-node',
}

/** Quota of one customer, for operators. */
export interface QuotaFigure {
	readonly customer: string;
	/** Limit in requests per second. */
	readonly rate: number;
	readonly burst: number;
	/** Admitted requests per second, over the nodes that `view` tells. */
	readonly use: number;
	readonly view: QuotaView;
	/** Share of the requests that this node admits, from 0 to 1. */
	readonly share: number;
	readonly basis: QuotaBasis;
	/** Age of the last news from an aggregator, in ms; undefined without any. */
	readonly age: Millis | undefined;
}

const messageKinds: Readonly<Record<QuotaMessageType, string>> = {
	[QuotaMessageType.Report]: 'report',
	[QuotaMessageType.Shares]: 'shares',
	[QuotaMessageType.Sum]: 'sum',
	[QuotaMessageType.SumAck]: 'sum-ack',
};
const maxPermille = 1000;

/** Quotas of customers at one node: decides for the ingress, reports, and aggregates when it is the node's turn. */
export class QuotaAgent implements CallQuota {
	private readonly gate: QuotaGate;
	private readonly aggregator: QuotaAggregator;

	constructor(private readonly deps: QuotaAgentDependencies) {
		const {clock, random, gossip, settings} = deps;
		const {id, incarnation} = gossip.localMember;
		const parts: QuotaParts = {
			clock,
			settings,
			members: new QuotaMembers(gossip.directory, () => gossip.localMember),
			self: {id, incarnation},
			observer: this.createObserver(),
			limitOf: (customer) => this.limitOf(customer),
			send: (to, message) => {
				this.send(to, message);
			},
		};
		this.aggregator = new QuotaAggregator(parts);
		this.gate = new QuotaGate({...parts, random});
	}

	admit(customer: string): CallQuotaVerdict | Promise<CallQuotaVerdict> | undefined {
		const decision = this.gate.admit(customer);
		if (!decision) {
			return undefined;
		}

		return decision instanceof Promise
			? decision.then((verdict) => this.count(verdict))
			: this.count(decision);
	}

	giveBack(customer: string): void {
		this.gate.giveBack(customer);
	}

	/**
	 * Handles a message from another node or from this one.
	 * @param message - the message.
	 */
	handleMessage(message: QuotaMessage): void {
		switch (message.type) {
			case QuotaMessageType.Report: {
				this.aggregator.handleReport(message);
				break;
			}

			case QuotaMessageType.Shares: {
				this.gate.handleShares(message);
				const {metrics} = this.deps;
				metrics.quotaReach.set(message.reach);
				metrics.quotaLimitedCustomers.set(message.shares.length);
				break;
			}

			case QuotaMessageType.Sum: {
				this.aggregator.handleSum(message);
				break;
			}

			case QuotaMessageType.SumAck: {
				this.aggregator.handleSumAck(message);
				break;
			}
		}
	}

	/** @returns the customers with a limit that this node has seen lately, by name. */
	figures(): QuotaFigure[] {
		const names = new Set([...this.gate.names, ...this.aggregator.names]);
		const figures: QuotaFigure[] = [];
		for (const customer of [...names].toSorted((a, b) => (a < b ? -1 : 1))) {
			const figure = this.figureOf(customer);
			if (figure) {
				figures.push(figure);
			}
		}

		return figures;
	}

	/**
	 * @param customer - name of a customer.
	 * @returns its figures; undefined if it has no limit.
	 */
	figureOf(customer: string): QuotaFigure | undefined {
		const limit = this.limitOf(customer);
		const own = this.gate.figureOf(customer);
		if (!limit || !own) {
			return undefined;
		}

		const all = this.aggregator.useOf(customer);
		return {
			customer,
			rate: limit.rate,
			burst: limit.burst,
			use: all?.use ?? own.ownUse,
			view: all ? QuotaView.AllNodes : QuotaView.OwnNode,
			share: own.share,
			basis: own.basis,
			age: Number.isFinite(own.age) ? own.age : undefined,
		};
	}

	private limitOf(customer: string): CustomerLimit | undefined {
		const policy = this.deps.revisions.inForce?.customer(customer);
		return policy && policy.rate > 0 ? policy : undefined;
	}

	private send(to: string, message: QuotaMessage): void {
		if (to === this.deps.gossip.localMember.id) {
			this.handleMessage(message);
			return;
		}

		this.deps.metrics.quotaMessages.inc({kind: messageKinds[message.type]});
		this.deps.send(to, message);
	}

	private count(verdict: QuotaVerdict): QuotaVerdict {
		const decision = verdict.isAdmitted ? 'admitted' : 'refused';
		this.deps.metrics.quotaDecisions.inc({decision, basis: verdict.basis});
		return verdict;
	}

	private createObserver(): QuotaObserver {
		const {logger} = this.deps;
		return {
			customerLimited(customer, demand, share) {
				logger.log(logEvents.quotaCustomerLimited, {
					customer,
					demand: Math.round(demand),
					share: Math.round(share * maxPermille) / maxPermille,
				});
			},
			customerFreed(customer) {
				logger.log(logEvents.quotaCustomerFreed, {customer});
			},
			newsLost(aggregator) {
				logger.log(logEvents.quotaNewsLost, {aggregator});
			},
			newsRegained(aggregator) {
				logger.log(logEvents.quotaNewsRegained, {aggregator});
			},
			aggregatorChanged(from, to) {
				logger.log(logEvents.quotaAggregatorChanged, {from, to});
			},
			aggregatorStarted() {
				logger.log(logEvents.quotaAggregatorStarted);
			},
			reachChanged(reach) {
				logger.log(logEvents.quotaReachChanged, {
					reach: Math.round(reach * maxPermille) / maxPermille,
				});
			},
		};
	}
}
