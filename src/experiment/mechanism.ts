/** A part of the decisions that an experiment can switch off, to measure what it is worth. */
export enum Mechanism {
	/** Delays a start until a slow period of the backend server is over. */
	StartDelay = 'start-delay',
	/** Sends a second attempt of a slow idempotent call. */
	Hedging = 'hedging',
	/** A busy executor refuses a first attempt, which is then sent elsewhere, instead of queueing it. */
	EarlyRefusal = 'early-refusal',
	/** Starts the call with the most time left first while not all can be in time. */
	OverloadOrder = 'overload-order',
	/** Refuses late calls that will not be served in the capacity that the others leave. */
	LateRefusal = 'late-refusal',
	/** Starts no late calls while others miss their objective for want of a slot. */
	LateReserve = 'late-reserve',
	/** Keeps slots free of a backend server that slows down when most of them are busy. */
	SaturationLimit = 'saturation-limit',
	/** Sends changes of the load to linked nodes. */
	LoadBroadcast = 'load-broadcast',
	/** Queries the speed before a start when the last reading is old. */
	SpeedProbe = 'speed-probe',
	/** Weighs the cost of bytes to other zones and regions. */
	TransferLoss = 'transfer-loss',
	/** Weighs recent failures of an executor. */
	FailureLoss = 'failure-loss',
	/** Counts the objective of a caller that returns after a refusal from its first request. */
	ElapsedTime = 'elapsed-time',
	/** Sends calls elsewhere while an executor reports that its rate limit is used up. */
	RateReport = 'rate-report',
	/** Evaluates only a sample of the executors of a large service. */
	ExecutorSampling = 'executor-sampling',
	/** Lets a call wait for an executor when its service has none. */
	ExecutorWait = 'executor-wait',
	/** Learns run times from a backend server that has just started. */
	ColdProfile = 'cold-profile',
	/** Limits how much of the load of its own availability zone a node sends to others. */
	ZoneSpillover = 'zone-spillover',
}

/** Mechanisms that are switched off. */
export type DisabledMechanisms = ReadonlySet<Mechanism>;

export const noneDisabled: DisabledMechanisms = new Set();
