import {createRandom, type Random} from '../../src/random/index.js';
import {TraceEventKind, type CallEvent} from '../../src/replay/index.js';
import type {DeploymentPlan} from '../deployment/place.js';

/** A kind of call that callers make. */
export interface CallKind {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly isIdempotent: boolean;
	readonly hasKey: boolean;
	readonly timeout: number;
	readonly resends: number;
	/** Calls a second. */
	readonly rate: number;
}

/** Traffic of callers over some time. */
export interface Traffic {
	readonly plan: DeploymentPlan;
	readonly kinds: readonly CallKind[];
	/** Time since the start of the trace, in ms. */
	readonly start: number;
	readonly end: number;
	readonly seed: number;
	/** Start of each call's id. */
	readonly prefix: string;
}

function arrivals(kind: CallKind, traffic: Traffic, random: Random): number[] {
	const times: number[] = [];
	let at = traffic.start;
	for (;;) {
		at += (-Math.log(1 - random.next()) * 1000) / kind.rate;
		if (at >= traffic.end) {
			return times;
		}

		times.push(Math.round(at));
	}
}

/**
 * @param traffic - what to draw.
 * @returns calls whose times follow a Poisson process, in order of time.
 */
export function drawTraffic(traffic: Traffic): CallEvent[] {
	const random = createRandom(traffic.seed);
	const {zones, customers} = traffic.plan;
	const events: CallEvent[] = [];
	for (const kind of traffic.kinds) {
		for (const [i, at] of arrivals(kind, traffic, random).entries()) {
			const id = `${traffic.prefix}-${kind.service}-${kind.method}-${i}`;
			events.push({
				kind: TraceEventKind.Call,
				at,
				id,
				zone: zones[random.below(zones.length)]!.zone,
				service: kind.service,
				customer: customers[random.below(customers.length)]!,
				method: kind.method,
				path: kind.path,
				isIdempotent: kind.isIdempotent,
				timeout: kind.timeout,
				resends: kind.resends,
				...(kind.hasKey && {key: `key-${id}`}),
			});
		}
	}

	return events.toSorted((a, b) => a.at - b.at);
}

/** What Rannakivi's callers do: look up stock, reserve loads, invoice farmers. */
export function rannakiviKinds(scale: number): CallKind[] {
	return [
		{
			service: 'depot-catalogue',
			method: 'GET',
			path: '/stock',
			isIdempotent: true,
			hasKey: false,
			timeout: 800,
			resends: 0,
			rate: 90 * scale,
		},
		{
			service: 'yard-booking',
			method: 'POST',
			path: '/reservations',
			isIdempotent: false,
			hasKey: true,
			timeout: 2000,
			resends: 2,
			rate: 30 * scale,
		},
		{
			service: 'farm-billing',
			method: 'POST',
			path: '/invoices',
			isIdempotent: false,
			hasKey: false,
			timeout: 5000,
			resends: 0,
			rate: 20 * scale,
		},
	];
}

/** What Kera Pakne's callers do: check ripeness, start doses, log payouts. */
export function kerakotKinds(scale: number): CallKind[] {
	return [
		{
			service: 'rangcheck',
			method: 'GET',
			path: '/bunches',
			isIdempotent: true,
			hasKey: false,
			timeout: 1000,
			resends: 0,
			rate: 90 * scale,
		},
		{
			service: 'kothaghar',
			method: 'POST',
			path: '/doses',
			isIdempotent: false,
			hasKey: true,
			timeout: 3000,
			resends: 2,
			rate: 25 * scale,
		},
		{
			service: 'sahakhata',
			method: 'POST',
			path: '/payouts',
			isIdempotent: false,
			hasKey: true,
			timeout: 5000,
			resends: 2,
			rate: 25 * scale,
		},
	];
}
