import type {Clock} from '../../clock/index.js';
import {createRandom} from '../../random/index.js';
import {createLocalMember, defaultGossipSettings, Gossip, type GossipHost} from '../index.js';

const noRevisions = {accepted: 0, acceptedHash: '', staged: 0, stagedHash: ''};

/**
 * @param clock - clock of the test.
 * @param host - callbacks that the test overrides; the others do nothing.
 * @returns the gossip instance of node 10.0.0.1:7001 in region r and zone z.
 */
export function createTestGossip(
	clock: Pick<Clock, 'now'>,
	host: Partial<GossipHost> = {},
): Gossip {
	return new Gossip(createLocalMember('10.0.0.1:7001', 1, {region: 'r', zone: 'z'}), {
		settings: defaultGossipSettings,
		clock,
		random: createRandom(1),
		host: {
			send: () => undefined,
			mayProbe: () => true,
			knownRevisions: () => noRevisions,
			handleKnownRevisions: () => undefined,
			handleRumor: () => undefined,
			handleHeldRevision: () => undefined,
			handlePause: () => undefined,
			...host,
		},
	});
}
