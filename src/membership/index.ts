export {Directory, memberHash, type MemberListener} from './directory.js';
export {createLocalMember, Gossip, type GossipHost} from './gossip.js';
export {decodeGossip, encodeGossip, GossipDecodeError} from './gossip-codec.js';
export {
	GossipType,
	RumorKind,
	type GossipMessage,
	type HeldRevision,
	type Rumor,
} from './gossip-message.js';
export {defaultGossipSettings, type GossipSettings} from './gossip-settings.js';
export {
	compareMemberRecords,
	isPresent,
	isRoutable,
	Liveness,
	MemberPhase,
	type Member,
} from './member.js';
export {Distance, distanceBetween} from './probe-targets.js';
