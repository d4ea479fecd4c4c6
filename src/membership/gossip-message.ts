import type {KnownRevisions} from '../declaration/index.js';
import type {Liveness, Member, MemberPhase} from './member.js';

/** Kinds of gossip message; the values are part of the wire format. */
export enum GossipType {
	/** Asks for a sign of life. */
	Ping = 0,
	/** A sign of life. */
	Ack = 1,
	/** Asks a third member to ping a target. */
	PingRequest = 2,
	/** Checksums of what the sender knows, bucket by bucket. */
	Digest = 3,
	/** Full accounts of members. */
	Entries = 4,
	/** Tells a reader which revision the sender holds. */
	HeldRevision = 5,
}

/** A change of a member that the receiver knows already, in few bytes. */
export interface BriefUpdate {
	/** Hash of the member's id and incarnation. */
	readonly hash: number;
	readonly version: number;
	readonly phase: MemberPhase;
	readonly liveness: Liveness;
}

/** Kinds of rumor; the values are part of the wire format. */
export enum RumorKind {
	/** A backend server crashed while certain requests were in flight. */
	Crash = 0,
	/** An operator lifted a hold. */
	HoldLifted = 1,
	/** A member handed its remembered keys to another. */
	Handover = 2,
}

/** A piece of news that every member hears once. */
export interface Rumor {
	/** Unique over the deployment. */
	readonly id: string;
	readonly kind: RumorKind;
	/** Content; its form depends on the kind. */
	readonly fields: readonly string[];
}

/** Who sends a message. */
export interface Sender {
	readonly id: string;
	readonly incarnation: number;
	readonly version: number;
}

/** News that rides on probes. */
export interface Piggyback {
	readonly brief: readonly BriefUpdate[];
	readonly full: readonly Member[];
	readonly rumors: readonly Rumor[];
	readonly revisions: KnownRevisions;
}

export interface Ping {
	readonly type: GossipType.Ping;
	readonly sender: Sender;
	readonly sequence: number;
	readonly piggyback: Piggyback;
}

export interface Ack {
	readonly type: GossipType.Ack;
	readonly sender: Sender;
	readonly sequence: number;
	/** Whose sign of life this is. */
	readonly subject: string;
	readonly piggyback: Piggyback;
}

export interface PingRequest {
	readonly type: GossipType.PingRequest;
	readonly sender: Sender;
	readonly sequence: number;
	readonly target: string;
}

export interface Digest {
	readonly type: GossipType.Digest;
	readonly sender: Sender;
	/** The sender's own account, so that a newcomer is known at once. */
	readonly senderMember: Member;
	readonly checksums: Uint32Array;
}

export interface Entries {
	readonly type: GossipType.Entries;
	readonly sender: Sender;
	readonly members: readonly Member[];
	readonly revisions: KnownRevisions;
}

export interface HeldRevision {
	readonly type: GossipType.HeldRevision;
	readonly sender: Sender;
	readonly revision: number;
}

export type GossipMessage = Ping | Ack | PingRequest | Digest | Entries | HeldRevision;
