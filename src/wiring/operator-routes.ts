import type {CustomerUse} from '../ingress/index.js';
import {Liveness} from '../membership/index.js';
import {parseAnnouncement} from '../node/announcement.js';
import {NodeState} from '../node/node-lifecycle.js';
import {jsonReply, textReply, type OperatorServer} from '../operations/index.js';
import {listZones, type ZoneList} from '../node/zone-list.js';
import {reportCustomers} from './customer-report.js';
import type {NodeCore} from './node-core.js';

/** Part of a node that the operator routes use. */
export interface OperatedNode {
	readonly core: NodeCore;
	readonly state: NodeState;
	/** Whether the platform store has answered recently; undefined without a store. */
	readonly isStoreUp: boolean | undefined;
	/** Idempotency keys that the node stores; undefined if the node does not support keys. */
	readonly keyedCalls: {readonly size: number} | undefined;
	/** @returns what customers use at the node's ingress. */
	customerUses(): readonly CustomerUse[];
}

/**
 * Registers the routes for operators and for the backend server.
 * @param server - the server on the operators' port.
 * @param node - the node.
 */
export function registerOperatorRoutes(server: OperatorServer, node: OperatedNode): void {
	server.registerHandler('GET /healthz', () => textReply('alive\n'));
	server.registerHandler('GET /readyz', () => {
		const isReady = node.state === NodeState.Ready;
		return textReply(`${node.state}\n`, isReady ? 200 : 503);
	});
	server.registerHandler('GET /metrics', async () => {
		updateMemberMetrics(node);
		return textReply(await node.core.metrics.registry.metrics());
	});
	server.registerHandler('GET /v1/status', () => jsonReply(statusOf(node)));
	server.registerHandler('GET /v1/members', () =>
		jsonReply({members: [...node.core.gossip.directory.all()]}),
	);
	server.registerHandler('GET /v1/zones', () => jsonReply(describeZones(node.core)));
	server.registerHandler('GET /v1/customers', () => {
		const {inForce} = node.core.revisions;
		const customers = reportCustomers(inForce, node.customerUses());
		return jsonReply({revision: inForce?.revision ?? 0, customers});
	});
	server.registerHandler('POST /v1/backend', (body) => {
		node.core.backend.handleAnnouncement(parseAnnouncement(body));
		return jsonReply({state: node.core.backend.state});
	});
	server.registerHandler('POST /v1/drain', () => {
		node.core.backend.drainNode();
		return jsonReply({state: node.core.backend.state});
	});
	server.registerHandler('GET /v1/holds', () => jsonReply({holds: node.core.crashWatcher.holds()}));
	server.registerHandler('DELETE /v1/holds/*', (_body, fingerprint) => {
		node.core.crashWatcher.lift(fingerprint);
		return jsonReply({lifted: fingerprint});
	});
}

function describeZones({clock, gossip, evacuations}: NodeCore): ZoneList {
	const zones = listZones(gossip.directory.all(), evacuations.current, clock.now());
	return {zones, position: evacuations.readAt};
}

function statusOf(node: OperatedNode) {
	const {accepted, staged} = node.core.revisions.known;
	return {
		id: node.core.id,
		instance: node.core.instance,
		state: node.state,
		backend: {
			state: node.core.backend.state,
			announcement: node.core.backend.current,
			load: node.core.executor.report(),
		},
		revision: {
			inForce: node.core.revisions.inForce?.revision ?? 0,
			held: node.core.revisions.heldRevision,
			accepted,
			staged,
		},
		members: node.core.gossip.directory.countPresent(),
		keys: node.keyedCalls?.size,
		isStoreUp: node.isStoreUp,
	};
}

function updateMemberMetrics(node: OperatedNode): void {
	const counts = new Map<Liveness, number>();
	for (const member of node.core.gossip.directory.all()) {
		counts.set(member.liveness, (counts.get(member.liveness) ?? 0) + 1);
	}

	const names: ReadonlyArray<readonly [Liveness, string]> = [
		[Liveness.Alive, 'alive'],
		[Liveness.Suspect, 'suspect'],
		[Liveness.Dead, 'dead'],
	];
	for (const [liveness, name] of names) {
		node.core.metrics.members.set({liveness: name}, counts.get(liveness) ?? 0);
	}
}
