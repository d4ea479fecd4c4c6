import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {Outcome, RefusalReason} from '../call/index.js';

/** Reason for a further attempt of a call. */
export enum RetryReason {
	/** The executor proved that the attempt did not run. */
	NotRun = 'not-run',
	/** The attempt may have run, and the call is idempotent. */
	IdempotentFailure = 'idempotent-failure',
	/** A second attempt of an idempotent call was sent before the first had answered. */
	Hedge = 'hedge',
}

/** How a request was handled that a caller sent behind another one on the same connection. */
export enum PipelineHandling {
	/** It waited until it could be forwarded. */
	Waited = 'waited',
	/** Its deadline passed while it waited. */
	Expired = 'expired',
	/** Its answer was held by earlier ones until its deadline had passed. */
	Late = 'late',
}

/** What ended an answer at a caller before it was complete. */
export enum AnswerCut {
	/** The deadline of the request passed. */
	Deadline = 'deadline',
	/** The backend server, or its executor, broke the answer off. */
	Backend = 'backend',
	/** The link to the executor was lost. */
	Link = 'link',
	/** The connection of the caller closed. */
	Caller = 'caller',
	/** The node left. */
	Stop = 'stop',
}

/** Kind of traffic on a link. */
export enum TrafficKind {
	Call = 'call',
	Control = 'control',
}

/** Upper bounds of the histogram buckets, in seconds. */
const latencyBuckets = [
	0.0005, 0.001, 0.0017, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

/** All metrics of a node. */
export class Metrics {
	readonly registry = new Registry();
	readonly calls = new Counter({
		name: 'turmeric_calls_total',
		help: 'Calls that ended at this ingress, by outcome.',
		labelNames: ['outcome'],
		registers: [this.registry],
	});

	readonly refusals = new Counter({
		name: 'turmeric_refusals_total',
		help: 'Calls refused to the caller, by reason.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly customerCalls = new Counter({
		name: 'turmeric_customer_calls_total',
		help: 'Calls of customers that ended at this ingress, by customer (100 at most, then "other") and outcome.',
		labelNames: ['customer', 'outcome'],
		registers: [this.registry],
	});

	readonly customerRefusals = new Counter({
		name: 'turmeric_customer_refusals_total',
		help: 'Calls of customers refused by this ingress, by customer (100 at most, then "other") and reason.',
		labelNames: ['customer', 'reason'],
		registers: [this.registry],
	});

	readonly attemptRefusals = new Counter({
		name: 'turmeric_attempt_refusals_total',
		help: 'Attempts refused by this executor, by reason.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly retries = new Counter({
		name: 'turmeric_retries_total',
		help: 'Further attempts of a call, by reason.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly attempts = new Counter({
		name: 'turmeric_attempts_total',
		help: 'Attempts sent by this ingress.',
		registers: [this.registry],
	});

	readonly pipelinedRequests = new Counter({
		name: 'turmeric_pipelined_requests_total',
		help: 'Requests delayed by earlier ones on the same connection, by handling.',
		labelNames: ['handling'],
		registers: [this.registry],
	});

	readonly unansweredRequests = new Counter({
		name: 'turmeric_unanswered_requests_total',
		help: 'Requests whose connection closed before they were answered, by state.',
		labelNames: ['state'],
		registers: [this.registry],
	});

	readonly answersCut = new Counter({
		name: 'turmeric_answers_cut_total',
		help: 'Answers that ended at a caller before they were complete, by what ended them.',
		labelNames: ['cut'],
		registers: [this.registry],
	});

	readonly answersSpoiled = new Counter({
		name: 'turmeric_answers_spoiled_total',
		help: 'Answers of the backend server whose body was not whole or contained another answer, by defect.',
		labelNames: ['defect'],
		registers: [this.registry],
	});

	readonly lateAnswers = new Counter({
		name: 'turmeric_late_answers_total',
		help: 'Answers dropped because they arrived after their attempt had ended.',
		registers: [this.registry],
	});

	readonly linkBytes = new Counter({
		name: 'turmeric_link_bytes_total',
		help: 'Bytes sent to peers, by region of the peer and kind.',
		labelNames: ['region', 'kind'],
		registers: [this.registry],
	});

	readonly linkRejects = new Counter({
		name: 'turmeric_link_rejects_total',
		help: 'Links closed or rejected, by reason.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly gossipRejects = new Counter({
		name: 'turmeric_gossip_rejects_total',
		help: 'Gossip datagrams dropped, by reason.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly probeTime = new Counter({
		name: 'turmeric_probe_milliseconds_total',
		help: 'Time that probes took at the backend server, in ms.',
		registers: [this.registry],
	});

	readonly storeOperations = new Counter({
		name: 'turmeric_store_operations_total',
		help: 'Operations on the platform store, by kind and result.',
		labelNames: ['kind', 'result'],
		registers: [this.registry],
	});

	readonly backendRequests = new Counter({
		name: 'turmeric_backend_requests_total',
		help: 'Requests that this node has sent to its backend server, without health probes.',
		registers: [this.registry],
	});

	readonly rateLimit = new Gauge({
		name: 'turmeric_backend_rate_limit',
		help: 'Requests per second that the backend server takes; -1 if it names no limit.',
		registers: [this.registry],
	});

	readonly bodyMemory = new Gauge({
		name: 'turmeric_body_memory_bytes',
		help: 'Memory reserved for the bodies of requests at this ingress.',
		registers: [this.registry],
	});

	readonly uploadsEnded = new Counter({
		name: 'turmeric_uploads_ended_total',
		help: 'Bodies that were not read to their end, by reason.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly coldLimit = new Gauge({
		name: 'turmeric_backend_cold_limit',
		help: 'Requests that the backend server may get in any second because it is cold; -1 if it is not limited.',
		registers: [this.registry],
	});

	readonly quotaDecisions = new Counter({
		name: 'turmeric_quota_decisions_total',
		help: 'Requests of customers with a quota, by decision and what it was based on.',
		labelNames: ['decision', 'basis'],
		registers: [this.registry],
	});

	readonly quotaMessages = new Counter({
		name: 'turmeric_quota_messages_total',
		help: 'Messages about quotas sent to other nodes, by kind.',
		labelNames: ['kind'],
		registers: [this.registry],
	});

	readonly quotaLimitedCustomers = new Gauge({
		name: 'turmeric_quota_limited_customers',
		help: 'Customers over their quota, as this node knows from its aggregator.',
		registers: [this.registry],
	});

	readonly quotaReach = new Gauge({
		name: 'turmeric_quota_reach',
		help: 'Part of the quotas that is not set aside for nodes out of reach, as the aggregator told.',
		registers: [this.registry],
	});

	readonly spilloverShare = new Gauge({
		name: 'turmeric_spillover_share',
		help: 'Share of the calls for a service that this node sends out of its availability zone for want of capacity.',
		labelNames: ['service'],
		registers: [this.registry],
	});

	readonly zoneShort = new Gauge({
		name: 'turmeric_zone_short',
		help: 'Whether the availability zone has too little capacity for its own callers of a service.',
		labelNames: ['service'],
		registers: [this.registry],
	});

	readonly inFlight = new Gauge({
		name: 'turmeric_calls_in_flight',
		help: 'Calls that this ingress has not answered yet.',
		registers: [this.registry],
	});

	readonly members = new Gauge({
		name: 'turmeric_members',
		help: 'Members that this node knows, by liveness.',
		labelNames: ['liveness'],
		registers: [this.registry],
	});

	readonly revision = new Gauge({
		name: 'turmeric_configuration_revision',
		help: 'The configuration revision in force here.',
		registers: [this.registry],
	});

	readonly evacuatedZones = new Gauge({
		name: 'turmeric_evacuated_zones',
		help: 'Availability zones that are evacuated as this node knows them.',
		registers: [this.registry],
	});

	readonly isEvacuated = new Gauge({
		name: 'turmeric_zone_evacuated',
		help: 'Whether the availability zone of this node is evacuated: 1, otherwise 0.',
		registers: [this.registry],
	});

	readonly duration = new Histogram({
		name: 'turmeric_call_duration_seconds',
		help: 'Time from the head of a request to the end of its answer, by outcome.',
		labelNames: ['outcome'],
		buckets: latencyBuckets,
		registers: [this.registry],
	});

	constructor() {
		for (const reason of Object.values(RefusalReason)) {
			this.refusals.inc({reason}, 0);
			this.attemptRefusals.inc({reason}, 0);
		}

		for (const reason of Object.values(RetryReason)) {
			this.retries.inc({reason}, 0);
		}

		for (const outcome of Object.values(Outcome)) {
			this.calls.inc({outcome}, 0);
		}
	}
}
