import type {Clock} from '../../clock/index.js';
import {createRandom} from '../../random/index.js';
import {createLocalMember, defaultGossipSettings, Gossip, type GossipHost} from '../index.js';

const noNews = {accepted: 0, acceptedHash: '', staged: 0, stagedHash: ''};

/**
 * @param clock - the time of the test.
 * @param host - what the test wants to hear; the rest is dropped.
 * @returns the gossip of the node 10.0.0.1:7001 in region r and zone z.
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
			knownRevisions: () => noNews,
			handleKnownRevisions: () => undefined,
			handleRumor: () => undefined,
			handleHeldRevision: () => undefined,
			handlePause: () => undefined,
			...host,
		},
	});
}
