import {minute, second, type Millis} from '../clock/index.js';

/** Rates and limits of the gossip protocol. */
export interface GossipSettings {
	/** Time between two probes of the member that this node monitors; also the period of `Gossip.tick`. */
	readonly probePeriod: Millis;
	/** Probe periods per additional probe of a random member, which disseminates updates. */
	readonly probesPerRandomProbe: number;
	/** Suspicion probes per second, sent immediately when the link to a member breaks. */
	readonly suspicionProbeRate: number;
	/** Seconds of the suspicion probe rate that can accumulate as a burst. */
	readonly suspicionProbeBurstSeconds: number;
	/** Time-out of a direct probe. */
	readonly directTimeout: Millis;
	/** Time-out of an indirect probe. */
	readonly indirectTimeout: Millis;
	/** Members that are asked to send an indirect probe. */
	readonly indirectProbes: number;
	/** Time from suspicion until a member is declared dead. */
	readonly suspicionTime: Millis;
	/** Mean time between two digests while member records differ. */
	readonly minDigestPeriod: Millis;
	/** Mean time between two digests while member records are equal. */
	readonly maxDigestPeriod: Millis;
	/** Broadcasts per second of updates that cannot wait for the next probe. */
	readonly urgentBroadcastRate: number;
	/** Bytes per second of member records sent for anti-entropy repair. */
	readonly repairBytesPerSecond: number;
	/** Time between two probes of members that were declared dead. */
	readonly deadMemberProbePeriod: Millis;
	/** How long a dead or departed member is kept, so that stale records don't resurrect it. */
	readonly tombstoneTime: Millis;
	/** Share of random probes to other zones of the region, from 0 to 1. */
	readonly otherZoneShare: number;
	/** Random probes per second to other regions, over all members of a region. */
	readonly otherRegionRate: number;
	/** Lower bound of the share of a member's random probes to other regions, from 0 to 1. */
	readonly minOtherRegionShare: number;
	/** Upper bound of the same share. */
	readonly maxOtherRegionShare: number;
	/** Maximum bytes of queued updates on one message. */
	readonly piggybackBytes: number;
	/** Number of times that each update is sent within the region; for urgent brief updates see `urgentCopies`. */
	readonly copies: number;
	/**
	 * Number of times that each urgent brief update is sent within the region, and again to other regions. Each
	 * broadcast message and each answer to one uses up a copy.
	 */
	readonly urgentCopies: number;
	/** Number of times that each update is sent to other regions; for urgent brief updates see `urgentCopies`. */
	readonly farCopies: number;
	/** Maximum number of queued updates. */
	readonly queueCapacity: number;
	/** A tick that is late by more than this indicates that the process was paused. */
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
