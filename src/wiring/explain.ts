import {RefusalReason} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {CustomerPolicy, DeclarationIndex, RoutePolicy} from '../declaration/index.js';
import {FindingsError} from '../ini/index.js';
import {
	callKind,
	type ObjectivePlacement,
	type PlacementExplanation,
	type PlacementQuery,
} from '../routing/index.js';

/** A request that an operator asks about. */
export interface ExplainedRequest {
	readonly host: string;
	readonly path: string;
	/** SHA-256 digest of the customer's key in hexadecimal digits; the key itself is not sent. */
	readonly keyDigest: string | undefined;
	readonly bodyBytes: number;
	/** How long the caller waits, in ms; undefined for the time-out of the route. */
	readonly timeLeft: Millis | undefined;
}

/** What is known about a request when a rule is checked. */
export interface RuleInput {
	readonly request: ExplainedRequest;
	readonly index: DeclarationIndex | undefined;
	readonly route: RoutePolicy | undefined;
	readonly customer: CustomerPolicy | undefined;
	readonly allowedRegions: readonly string[] | undefined;
}

/** A rule by which an ingress refuses a request before an executor is chosen. */
export interface RequestRule {
	readonly reason: RefusalReason;
	/** @returns whether the rule refuses the request. */
	refuses(input: RuleInput): boolean;
}

/** Where a request would go now, and why. */
export interface RequestExplanation {
	readonly route: string | undefined;
	readonly revision: number | undefined;
	readonly customer: string | undefined;
	readonly quota: {readonly rate: number; readonly burst: number} | undefined;
	readonly allowedRegions: readonly string[] | undefined;
	/** Reason of the refusal, which names the rule; undefined if the request would be sent to an executor. */
	readonly refusal: RefusalReason | undefined;
	/** One for each target of the route; several share its requests by weight. */
	readonly targets: ReadonlyArray<
		{readonly service: string; readonly weight: number} & PlacementExplanation
	>;
}

/** All rules, in the order in which they are checked; a new rule is added here. */
const requestRules: readonly RequestRule[] = [
	{reason: RefusalReason.NotReady, refuses: ({index}) => index === undefined},
	{reason: RefusalReason.NoRoute, refuses: ({route}) => route === undefined},
	{
		reason: RefusalReason.UnknownKey,
		refuses: ({index, route, customer}) =>
			(index?.hasCustomers ?? false) && !route?.isAnonymous && customer === undefined,
	},
	{
		reason: RefusalReason.RegionNotAllowed,
		refuses: ({allowedRegions}) => allowedRegions?.length === 0,
	},
];
const findingsFile = 'explain';

/**
 * @param text - body of an operator's request, in JSON.
 * @returns the request that the operator asks about.
 * @throws {@link FindingsError} if a field has another type.
 */
export function parseExplainedRequest(text: string): ExplainedRequest {
	const fields = parseObject(text);
	const {host, path, keyDigest, bodyBytes = 0, timeLeft} = fields;
	const isValid =
		typeof host === 'string' &&
		typeof path === 'string' &&
		path.startsWith('/') &&
		(keyDigest === undefined || typeof keyDigest === 'string') &&
		isAmount(bodyBytes) &&
		(timeLeft === undefined || isAmount(timeLeft));
	if (!isValid) {
		const hint = 'give {"host", "path", "keyDigest", "bodyBytes", "timeLeft"}';
		const problem = 'is not a request';
		throw new FindingsError([{file: findingsFile, section: '', key: '', line: 0, problem, hint}]);
	}

	return {host, path, keyDigest, bodyBytes, timeLeft};
}

/**
 * @param request - a request.
 * @param index - the configuration in force; undefined while the node is not ready.
 * @param placement - chooses the executors of this node's calls.
 * @returns where the request would go now. Nothing is sent or recorded.
 */
export function explainRequest(
	request: ExplainedRequest,
	index: DeclarationIndex | undefined,
	placement: Pick<ObjectivePlacement, 'explain'>,
): RequestExplanation {
	const route = index?.route(request.host.split(':', 1)[0]!, request.path);
	const digest = request.keyDigest;
	const isKeyed = digest !== undefined && !route?.isAnonymous;
	const customer = isKeyed ? index?.customerOfKey(digest) : undefined;
	const allowedRegions = intersect(route?.allowedRegions, customer?.allowedRegions);
	const input = {request, index, route, customer, allowedRegions};
	const refusal = requestRules.find((rule) => rule.refuses(input))?.reason;
	const targets =
		refusal === undefined && route
			? route.targets.map(({service, weight}) => ({
					service,
					weight,
					...placement.explain(createQuery(service, route, input)),
				}))
			: [];
	const isPlaced = targets.some(({chosen}) => chosen !== undefined);
	return {
		route: route?.name,
		revision: index?.revision,
		customer: customer?.customer,
		quota: customer && customer.rate > 0 ? {rate: customer.rate, burst: customer.burst} : undefined,
		allowedRegions,
		refusal: refusal ?? (isPlaced ? undefined : targets[0]?.refusal),
		targets,
	};
}

function createQuery(
	service: string,
	route: RoutePolicy,
	{request, customer, allowedRegions}: RuleInput,
): PlacementQuery {
	const {timeLeft = route.timeout, bodyBytes} = request;
	const priority =
		customer?.priority === undefined
			? route.priority
			: customer.priority + route.priority / (1 + route.priority);
	return {
		service,
		kind: callKind(service, route.name),
		priority,
		isIdempotent: route.isIdempotent,
		timeLeft: Math.min(route.timeout, timeLeft),
		objective: route.objective,
		objectiveLeft: route.objective,
		requestBytes: bodyBytes,
		excluded: new Set(),
		allowedRegions,
	};
}

function intersect(
	first: readonly string[] | undefined,
	second: readonly string[] | undefined,
): readonly string[] | undefined {
	return first && second ? first.filter((region) => second.includes(region)) : (first ?? second);
}

function isAmount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function parseObject(text: string): Readonly<Record<string, unknown>> {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null ? {...value} : {};
	} catch {
		return {};
	}
}
