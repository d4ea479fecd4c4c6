import {minute, second, type Millis} from '../clock/index.js';

/** Rates and limits of the gossip. */
export interface GossipSettings {
	/** Time between two probes of the member that this node watches. */
	readonly probePeriod: Millis;
	/** Each so many-th probe goes along with one to a random member, which carries news. */
	readonly probesPerRandomProbe: number;
	/** Members a second that are probed at once as a link to them broke, and how many at a time. */
	readonly suspicionProbeRate: number;
	readonly suspicionProbeBurstSeconds: number;
	/** How long a direct probe may take. */
	readonly directTimeout: Millis;
	/** How long an indirect probe may take. */
	readonly indirectTimeout: Millis;
	/** Members that are asked to probe for this node. */
	readonly indirectProbes: number;
	/** How long a member is suspected before it counts as dead. */
	readonly suspicionTime: Millis;
	/** Time between two digests while members disagree. */
	readonly minDigestPeriod: Millis;
	/** Time between two digests while members agree. */
	readonly maxDigestPeriod: Millis;
	/** Pushes a second of news that cannot wait for the next probe. */
	readonly urgentBroadcastRate: number;
	/** Bytes a second for accounts that repair what others have missed. */
	readonly repairBytesPerSecond: number;
	/** Time between two probes of members that count as dead. */
	readonly deadMemberProbePeriod: Millis;
	/** How long a dead member is remembered, so that old accounts don't bring it back. */
	readonly tombstoneTime: Millis;
	/** Share of probes that leave the zone, from 0 to 1. */
	readonly otherZoneShare: number;
	/** Probes a second that leave a region, all its members together. */
	readonly otherRegionRate: number;
	/** Bounds of the share of a member's probes that leave the region, from 0 to 1. */
	readonly minOtherRegionShare: number;
	readonly maxOtherRegionShare: number;
	/** Bytes of news on one probe. */
	readonly piggybackBytes: number;
	/** How often each piece of news is sent within the region. */
	readonly copies: number;
	/** The same for news that pushes carry: each push and each answer to one takes a copy. */
	readonly urgentCopies: number;
	/** How often each piece of news is sent to other regions. */
	readonly farCopies: number;
	/** Pieces of news kept at the most. */
	readonly queueCapacity: number;
	/** A tick that comes this much late tells of a pause of the process. */
	readonly pauseThreshold: Millis;
}

export const defaultGossipSettings: GossipSettings = {
	probePeriod: 500,
	probesPerRandomProbe: 4,
	suspicionProbeRate: 4,
	suspicionProbeBurstSeconds: 8,
	directTimeout: 80,
	indirectTimeout: 150,
	indirectProbes: 3,
	suspicionTime: 2 * second,
	minDigestPeriod: second / 2,
	maxDigestPeriod: 10 * second,
	urgentBroadcastRate: 1,
	repairBytesPerSecond: 4000,
	deadMemberProbePeriod: 2 * second,
	tombstoneTime: 10 * minute,
	otherZoneShare: 0.18,
	otherRegionRate: 6,
	minOtherRegionShare: 0.004,
	maxOtherRegionShare: 0.2,
	piggybackBytes: 720,
	copies: 5,
	urgentCopies: 18,
	farCopies: 2,
	queueCapacity: 20_000,
	pauseThreshold: 600,
};
