import type {Millis} from '../clock/index.js';
import type {Ingress} from '../ingress/index.js';
import {MemberPhase} from '../membership/index.js';
import {pause} from '../util/index.js';
import type {NodeCore} from './node-core.js';

/** What the exit of a node cuts. */
export interface Departure {
	/** Requests of callers that have not got a complete answer. */
	readonly cut: number;
	/** Calls at the own backend server and on links that have not ended. */
	readonly running: number;
}

/** How long a departure may take. */
export interface DepartureTimes {
	/** Time for the last gossip messages to be sent before the sockets close, in ms. */
	readonly notice: Millis;
	/** Monotonic time in ms after which nothing else is waited for. */
	readonly until: Millis;
}

/** Time for the first requests on connections that were accepted just before the ingress closed. */
const firstRequestTime: Millis = 50;

/**
 * Closes the ingress and waits until nothing is in flight. From then on no request becomes a call.
 * @param core - the parts of the node.
 * @param ingress - the ingress.
 * @param until - monotonic time in ms up to which calls may end.
 */
export async function closeIngress(core: NodeCore, ingress: Ingress, until: Millis): Promise<void> {
	const {clock, hub, executor} = core;
	ingress.close();
	await pause(clock, firstRequestTime);
	await core.waitUntilIdle(
		() => ingress.pendingCount + executor.callCount + hub.callsInFlight,
		until,
	);
	ingress.refuseAll();
}

/**
 * Announces that the node has left, once its ingress is closed, and waits until callers and peers have taken what they
 * still get.
 * @param core - the parts of the node.
 * @param ingress - the closed ingress.
 * @param times - bounds of the waits.
 * @returns what the exit cuts.
 */
export async function depart(
	core: NodeCore,
	ingress: Ingress,
	{notice, until}: DepartureTimes,
): Promise<Departure> {
	const {clock, gossip, hub, executor} = core;
	gossip.updateLocalMember({phase: MemberPhase.Left});
	gossip.flush();
	await pause(clock, notice);
	// Requests that were read meanwhile were refused; their callers must get this.
	ingress.closeConnections();
	await core.waitUntilIdle(() => ingress.pendingCount + hub.unsentLinks, until + notice);
	return {cut: ingress.breakOffRemaining(), running: executor.callCount + hub.callsInFlight};
}
