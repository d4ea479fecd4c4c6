import type {KnownRevisions} from '../declaration/index.js';
import type {Liveness, Member, MemberPhase} from './member.js';

/** Kinds of gossip message; the values are part of the wire format. */
export enum GossipType {
	/** Probes a member, which answers with an {@link GossipType.Ack}. */
	Ping = 0,
	/** Answers a ping. */
	Ack = 1,
	/** Asks another member to ping a target (indirect probe). */
	PingRequest = 2,
	/** Checksum of the sender's member records for each bucket. */
	Digest = 3,
	/** Full member records. */
	Entries = 4,
	/**
	 * Reports the revision of the declaration whose content the sender holds. The members that read the store
	 * for their zone use it to know when the whole zone holds a staged revision.
	 */
	HeldRevision = 5,
}

/** Compact update of a member that the receiver already knows. */
export interface BriefUpdate {
	/** Hash of the member's id and incarnation. */
	readonly hash: number;
	readonly version: number;
	readonly phase: MemberPhase;
	readonly liveness: Liveness;
}

/** Kinds of rumor; the values are part of the wire format. */
export enum RumorKind {
	/** A backend server crashed while requests were in flight. */
	Crash = 0,
	/** An operator lifted a hold. */
	HoldLifted = 1,
	/** A member handed its idempotency keys over to another. */
	Handover = 2,
}

/** An event that is disseminated to all members; each handles it once. */
export interface Rumor {
	/** Unique within the deployment. */
	readonly id: string;
	readonly kind: RumorKind;
	/** Payload; its layout depends on the kind. */
	readonly fields: readonly string[];
}

/** The sending member. */
export interface Sender {
	readonly id: string;
	readonly incarnation: number;
	readonly version: number;
}

/** Updates piggybacked on pings and acks. */
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
	/** Id of the member that answered the ping; differs from the sender when an ack is relayed. */
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
	/** The sender's own record, so that a newly started member is known at once. */
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
