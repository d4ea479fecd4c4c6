/** Executor that a request could be sent to, as a node describes it. */
type Candidate = {
	id: string;
	region: string;
	zone: string;
	exclusion?: string;
	isZoneClosed: boolean;
	time: number;
	loss: number;
	parts: Record<string, number>;
	reportAge?: number;
};
type Other = {zone: string; room?: number; age: number; loss: number};
type Target = {
	service: string;
	weight: number;
	chosen?: string;
	refusal?: string;
	destination?: string;
	candidates: Candidate[];
	zones?: {isShort: boolean; share: number; own: {load: number; age: number}; others: Other[]};
};

/** Answer of a node to the question where a request would go; undefined fields are left out. */
export interface ExplanationReply {
	readonly route?: string;
	readonly revision?: number;
	readonly customer?: string;
	readonly quota?: {readonly rate: number; readonly burst: number};
	readonly allowedRegions?: readonly string[];
	readonly refusal?: string;
	readonly targets: readonly Target[];
}

/**
 * @param value - parsed answer of a node.
 * @returns whether it is an explanation; otherwise it tells an error.
 */
export function isExplanation(value: unknown): value is ExplanationReply {
	return typeof value === 'object' && value !== null && 'targets' in value;
}

function candidateLine(candidate: Candidate, chosen: string | undefined): string {
	const {id, region, zone, time, loss, parts, reportAge} = candidate;
	const age = reportAge === undefined ? 'no report' : `report ${Math.round(reportAge)} ms old`;
	const excluded = candidate.exclusion ?? (candidate.isZoneClosed ? 'zone-closed' : undefined);
	const isShown = (name: string) => parts[name]! >= 0.0005;
	const names = Object.keys(parts).filter((name) => isShown(name));
	const sum = names.map((name) => `${name} ${parts[name]!.toFixed(3)}`).join(' + ');
	const mark = id === chosen ? '*' : ' ';
	const why = excluded === undefined ? '' : `  excluded: ${excluded}`;
	return `  ${mark} ${id}  ${region}/${zone}  ${Math.round(time)} ms  loss ${loss.toFixed(3)} (${sum})  ${age}${why}`;
}

function zoneLines({zones, destination}: Target): string[] {
	if (!zones) {
		return ['  no decision on zones'];
	}

	const {isShort, share, own, others} = zones;
	const state = isShort ? 'short' : 'has room';
	const leaving = destination === undefined ? '' : `; this request leaves for ${destination}`;
	const lines = [
		`  own zone ${state}: load ${own.load.toFixed(2)} per slot, ${Math.round(own.age)} ms old, share that leaves ${share.toFixed(2)}${leaving}`,
	];
	for (const {zone, room, age, loss} of others) {
		const free = room === undefined ? 'unknown' : room.toFixed(2);
		lines.push(`  ${zone}: room ${free}, ${Math.round(age)} ms old, loss ${loss.toFixed(3)}`);
	}

	return lines;
}

function targetLines(target: Target): string[] {
	const {service, weight, chosen, refusal, candidates} = target;
	const result = chosen === undefined ? `refused: ${refusal ?? 'unknown'}` : `goes to ${chosen}`;
	return [
		`service ${service} (weight ${weight}): ${result}`,
		...zoneLines(target),
		...candidates.map((candidate) => candidateLine(candidate, chosen)),
	];
}

/**
 * @param reply - answer of a node.
 * @returns the lines that an operator reads.
 */
export function formatExplanation(reply: ExplanationReply): string[] {
	const {route, revision, customer, quota, allowedRegions, refusal, targets} = reply;
	return [
		`route: ${route ?? 'none'} (revision ${revision ?? 'none'})`,
		`customer: ${customer ?? 'none'}`,
		`quota: ${quota ? `${quota.rate} per second, burst ${quota.burst}` : 'none'}`,
		`allowed regions: ${allowedRegions ? allowedRegions.join(', ') : 'any'}`,
		...(refusal === undefined ? [] : [`refused: ${refusal}`]),
		...targets.flatMap((target) => targetLines(target)),
	];
}
