import {Liveness} from '../membership/index.js';
import {parseAnnouncement} from '../node/announcement.js';
import {NodeState} from '../node/node-lifecycle.js';
import {jsonReply, textReply, type OperatorServer} from '../operations/index.js';
import type {TurmericNode} from './turmeric-node.js';

/**
 * Registers what operators and the backend server may ask of a node.
 * @param server - the server on the operators' port.
 * @param node - the node.
 */
export function registerOperatorRoutes(server: OperatorServer, node: TurmericNode): void {
	server.registerHandler('GET /healthz', () => textReply('alive\n'));
	server.registerHandler('GET /readyz', () => {
		const isReady = node.state === NodeState.Ready;
		return textReply(`${node.state}\n`, isReady ? 200 : 503);
	});
	server.registerHandler('GET /metrics', async () => {
		countMembers(node);
		return textReply(await node.metrics.registry.metrics());
	});
	server.registerHandler('GET /v1/status', () => jsonReply(statusOf(node)));
	server.registerHandler('GET /v1/members', () =>
		jsonReply({members: [...node.gossip.directory.all()]}),
	);
	server.registerHandler('POST /v1/backend', (body) => {
		node.backend.announce(parseAnnouncement(body));
		return jsonReply({state: node.backend.state});
	});
	server.registerHandler('POST /v1/drain', () => {
		node.backend.drainNode();
		return jsonReply({state: node.backend.state});
	});
	server.registerHandler('GET /v1/holds', () => jsonReply({holds: node.crashes.holds()}));
	server.registerHandler('DELETE /v1/holds/*', (_body, fingerprint) => {
		node.crashes.lift(fingerprint);
		return jsonReply({lifted: fingerprint});
	});
}

function statusOf(node: TurmericNode) {
	const {accepted, staged} = node.keeper.heard;
	return {
		id: node.home.id,
		instance: node.home.instance,
		state: node.state,
		backend: {
			state: node.backend.state,
			announcement: node.backend.current,
			load: node.executor.report(),
		},
		revision: {
			inForce: node.keeper.inForce?.revision ?? 0,
			held: node.keeper.heldRevision,
			accepted,
			staged,
		},
		members: node.gossip.directory.countPresent(),
		keys: node.keyedCalls.size,
		isStoreUp: node.isStoreUp,
	};
}

function countMembers(node: TurmericNode): void {
	const counts = new Map<Liveness, number>();
	for (const member of node.gossip.directory.all()) {
		counts.set(member.liveness, (counts.get(member.liveness) ?? 0) + 1);
	}

	const names: ReadonlyArray<readonly [Liveness, string]> = [
		[Liveness.Alive, 'alive'],
		[Liveness.Suspect, 'suspect'],
		[Liveness.Dead, 'dead'],
	];
	for (const [liveness, name] of names) {
		node.metrics.members.set({liveness: name}, counts.get(liveness) ?? 0);
	}
}
