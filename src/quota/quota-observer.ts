/** Is told what the quotas decide, for logs and metrics. */
export interface QuotaObserver {
	/** Called when an aggregator begins to refuse a share of a customer's requests. */
	customerLimited(customer: string, demand: number, share: number): void;
	/** Called when an aggregator has refused none of a customer's requests for some time. */
	customerFreed(customer: string): void;
	/** Called when no aggregator answers, so that the node uses its own part of the limits. */
	newsLost(aggregator: string): void;
	/** Called when an aggregator answers again. */
	newsRegained(aggregator: string): void;
	/** Called when the node reports to another aggregator. */
	aggregatorChanged(from: string, to: string): void;
	/** Called when an aggregator begins with empty buckets. */
	aggregatorStarted(): void;
	/** Called when the part of the limits that is set aside for unreachable nodes changes. */
	reachChanged(reach: number): void;
}
