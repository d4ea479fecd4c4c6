import {TokenBucket} from '../budget/index.js';
import type {Clock, Millis, Undo} from '../clock/index.js';
import type {KnownRevisions} from '../declaration/index.js';
import {sample, type Random} from '../random/index.js';
import {invariant} from '../util/index.js';
import {Directory, memberHash} from './directory.js';
import {
	GossipType,
	type Ack,
	type BriefUpdate,
	type Digest,
	type Entries,
	type GossipMessage,
	type HeldRevision,
	type Piggyback,
	type Ping,
	type PingRequest,
	type Rumor,
	type Sender,
} from './gossip-message.js';
import type {GossipSettings} from './gossip-settings.js';
import {
	isPresent,
	isUnconfirmed,
	Liveness,
	MemberPhase,
	unconfirmedIncarnation,
	unconfirmedVersion,
	type Member,
} from './member.js';
import {ProbeTargets} from './probe-targets.js';
import {SeenRumors} from './seen-rumors.js';
import {UpdateQueue, type QueuedUpdate} from './update-queue.js';

/** Transport and callbacks that the owner of a {@link Gossip} provides. */
export interface GossipHost {
	/**
	 * Sends a datagram; it may be lost.
	 * @param to - id of the receiver, which is its address.
	 * @param message - the message.
	 */
	send(to: string, message: GossipMessage): void;
	/**
	 * @param member - a member to probe.
	 * @returns whether the budget of the link to it allows a probe.
	 */
	mayProbe(member: Member): boolean;
	/** @returns the newest revisions that this node knows. */
	knownRevisions(): KnownRevisions;
	/**
	 * Called with the revisions that a peer knows.
	 * @param revisions - the peer's newest revisions.
	 * @param from - id of the peer.
	 */
	handleKnownRevisions(revisions: KnownRevisions, from: string): void;
	/**
	 * Called once for each rumor, also for those that this node spreads itself.
	 * @param rumor - the rumor.
	 */
	handleRumor(rumor: Rumor): void;
	/**
	 * Called when a peer reports the revision that it holds.
	 * @param held - the peer's message.
	 */
	handleHeldRevision(held: HeldRevision): void;
	/**
	 * Called when this process was not scheduled for a while.
	 * @param pause - length of the pause, in ms.
	 */
	handlePause(pause: Millis): void;
}

/** Collaborators of {@link Gossip}. */
export interface GossipDependencies {
	readonly settings: GossipSettings;
	readonly clock: Pick<Clock, 'now'>;
	readonly random: Random;
	readonly host: GossipHost;
}

type Probe = {target: string; isIndirect: boolean; until: Millis};
type Relay = {origin: string; sequence: number; until: Millis};

const briefUpdateBytes = 9;
const fullUpdateBytes = 96;
const rumorOverheadBytes = 24;
const entriesPerMessage = 12;
/** Seconds of the repair budget that can accumulate, so that a new member gets all records at once. */
const repairBurstSeconds = 10;
/** Seconds of the urgent broadcast budget that can accumulate. */
const urgentBurstSeconds = 4;
const urgentFanOut = 3;
/**
 * Broadcasts of an urgent update by each member that receives it. With one broadcast each, about 1 member in
 * 20 misses the update.
 */
const urgentBroadcastCount = 3;

function rumorBytes(rumor: Rumor): number {
	let size = rumorOverheadBytes + rumor.id.length;
	for (const field of rumor.fields) {
		size += field.length + 2;
	}

	return size;
}

/**
 * SWIM-style gossip membership: each node probes others at a fixed rate and piggybacks updates on the
 * probes, so that the cost per node does not grow with the number of nodes.
 * Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group
 * membership protocol", 2002.
 */
export class Gossip {
	readonly directory = new Directory();
	private readonly sameRegionQueue: UpdateQueue;
	private readonly otherRegionQueue: UpdateQueue;
	private readonly targets: ProbeTargets;
	private readonly rumors = new SeenRumors();
	private readonly probes = new Map<number, Probe>();
	private readonly relays = new Map<number, Relay>();
	private readonly suspicions = new Map<string, Millis>();
	private readonly tombstones = new Map<string, Millis>();
	private self: Member;
	private sequence = 0;
	private lastTick: Millis;
	private nextDigest: Millis;
	private nextDeadMemberProbe: Millis;
	private ticks = 0;
	private urgentBroadcastsLeft = 0;
	private readonly urgentBudget: TokenBucket;
	private digestPeriod: Millis;
	private readonly repairBudget: TokenBucket;
	private readonly suspicionProbeBudget: TokenBucket;
	private nextIntroductionAt = 0;
	private receivedAt: Millis;

	private readonly settings: GossipSettings;
	private readonly clock: Pick<Clock, 'now'>;
	private readonly random: Random;
	private readonly host: GossipHost;

	constructor(self: Member, deps: GossipDependencies) {
		const {settings, clock, random, host} = deps;
		this.self = self;
		this.settings = settings;
		this.clock = clock;
		this.random = random;
		this.host = host;
		this.sameRegionQueue = new UpdateQueue(settings.copies, settings.queueCapacity);
		this.otherRegionQueue = new UpdateQueue(settings.farCopies, settings.queueCapacity);
		this.targets = new ProbeTargets(() => this.self, this.directory, settings, random);
		this.lastTick = clock.now();
		this.receivedAt = clock.now();
		this.nextDigest = clock.now();
		this.nextDeadMemberProbe = clock.now();
		this.digestPeriod = settings.minDigestPeriod;
		this.urgentBudget = new TokenBucket(clock, settings.urgentBroadcastRate, urgentBurstSeconds);
		this.repairBudget = new TokenBucket(clock, settings.repairBytesPerSecond, repairBurstSeconds);
		this.suspicionProbeBudget = new TokenBucket(
			clock,
			settings.suspicionProbeRate,
			settings.suspicionProbeBurstSeconds,
		);
		this.directory.registerListener((member) => {
			this.trackLiveness(member);
		});
		this.directory.merge(self);
	}

	/** Record of this node. */
	get localMember(): Member {
		return this.self;
	}

	/** Time at which the last message from any member was received. */
	get lastReceivedAt(): Millis {
		return this.receivedAt;
	}

	/** Number of updates queued for members of the region. */
	get pendingUpdates(): number {
		return this.sameRegionQueue.size;
	}

	/**
	 * Changes the record of this node and announces the change.
	 * @param change - the changed fields.
	 */
	updateLocalMember(change: Partial<Pick<Member, 'phase' | 'service' | 'slots'>>): void {
		this.replaceLocalMember({...this.self, ...change, version: this.self.version + 1});
	}

	/**
	 * Sends a rumor to all members.
	 * @param rumor - the rumor.
	 */
	spreadRumor(rumor: Rumor): void {
		if (this.rumors.addIfNew(rumor.id)) {
			this.enqueueRumor(rumor);
			this.host.handleRumor(rumor);
		}
	}

	/**
	 * Sends a digest with this node's record to a peer that may not know it.
	 * @param peer - address of the peer.
	 */
	join(peer: string): void {
		this.host.send(peer, this.digest());
	}

	/**
	 * Adds an unconfirmed member that the store lists, and pings it. Once a message from it arrives, it
	 * counts as serving until its own record is received.
	 * @param id - address of the member.
	 * @param place - its region and zone, and the service of its backend server.
	 */
	addUnconfirmed(id: string, place: Pick<Member, 'region' | 'zone' | 'service'>): void {
		if (!this.directory.get(id)) {
			// The record of a started node serves as the placeholder; its incarnation marks it as unconfirmed.
			const placeholder = createLocalMember(id, unconfirmedIncarnation, place);
			this.directory.merge({...placeholder, service: place.service});
			this.ping(id, false);
		}
	}

	/**
	 * Sends queued updates to random members of the region without waiting for the next probe.
	 * @param count - maximum number of members.
	 */
	broadcastUpdates(count: number): void {
		for (const peer of this.targets.samplePeers(count, this.self)) {
			this.ping(peer.id, false);
		}
	}

	/**
	 * Pings random members of each other region, which learn the newest revisions with it. Random probes cross to another
	 * region too seldom for news that must be known everywhere within seconds.
	 * @param count - maximum number of members of each region.
	 */
	pingOtherRegions(count: number): void {
		for (const peer of this.targets.sampleOtherRegions(count)) {
			this.ping(peer.id, false);
		}
	}

	/** Sends queued updates to some peers immediately; called by a node that is about to leave. */
	flush(): void {
		const peers = [...this.directory.all()].filter(
			(member) => member.id !== this.self.id && isPresent(member),
		);
		for (const peer of peers.slice(0, this.settings.copies * 2)) {
			this.ping(peer.id, false);
		}
	}

	/**
	 * Reports to a peer which revision this node holds.
	 * @param reader - id of the receiver, a member that follows the store for its zone.
	 * @param revision - the revision.
	 */
	sendHeldRevision(reader: string, revision: number): void {
		this.host.send(reader, {type: GossipType.HeldRevision, sender: this.sender(), revision});
	}

	/**
	 * @param listener - called after each change of a member.
	 * @returns a function that ends the registration.
	 */
	registerListener(listener: (member: Member, previous: Member | undefined) => void): Undo {
		return this.directory.registerListener(listener);
	}

	/** Whether {@link checkProbes} has probes to expire or urgent updates to broadcast. */
	get hasPendingChecks(): boolean {
		return this.urgentBroadcastsLeft > 0 || this.probes.size > 0 || this.relays.size > 0;
	}

	/**
	 * Probes a member immediately, because a link to it broke without a leave message.
	 * @param id - address of the member.
	 */
	sendSuspicionProbe(id: string): void {
		const member = this.directory.get(id);
		const isAlive = member?.liveness === Liveness.Alive && isPresent(member);
		const isProbed = [...this.probes.values()].some(({target}) => target === id);
		if (isAlive && !isProbed && this.suspicionProbeBudget.trySpend(1)) {
			this.probe(member, this.clock.now());
		}
	}

	/** Runs all periodic work; called once per probe period. */
	tick(): void {
		const now = this.clock.now();
		const lateness = now - this.lastTick - this.settings.probePeriod;
		this.lastTick = now;
		if (lateness > this.settings.pauseThreshold) {
			this.recoverFromPause(lateness, now);
		}

		this.expireProbes(now);
		this.expireSuspicions(now);
		this.expireTombstones(now);
		this.sendProbes(now);
		this.sendDigest(now);
		this.probeDeadMember(now);
	}

	/** Expires unanswered probes and broadcasts urgent updates; called frequently while {@link hasPendingChecks}. */
	checkProbes(): void {
		const now = this.clock.now();
		if (now - this.lastTick < this.settings.probePeriod + this.settings.pauseThreshold) {
			this.expireProbes(now);
			this.broadcastUrgentUpdates();
		}
	}

	/**
	 * Handles a received message.
	 * @param message - the message.
	 */
	receive(message: GossipMessage): void {
		this.receivedAt = this.clock.now();
		this.recordSender(message.sender);
		switch (message.type) {
			case GossipType.Ping: {
				this.receivePing(message);
				break;
			}

			case GossipType.Ack: {
				this.receiveAck(message);
				break;
			}

			case GossipType.PingRequest: {
				this.receivePingRequest(message);
				break;
			}

			case GossipType.Digest: {
				this.receiveDigest(message);
				break;
			}

			case GossipType.Entries: {
				this.receiveEntries(message);
				break;
			}

			case GossipType.HeldRevision: {
				this.host.handleHeldRevision(message);
				break;
			}
		}
	}

	// Peers must learn at once that a member is suspected or draining, to stop routing calls to it, and that
	// a suspicion was refuted. The budget bounds the traffic when a whole zone is lost.
	private broadcastUrgentUpdates(): void {
		if (this.urgentBroadcastsLeft > 0 && this.urgentBudget.trySpend(1)) {
			this.urgentBroadcastsLeft -= 1;
			this.broadcastUpdates(urgentFanOut);
		}
	}

	private replaceLocalMember(member: Member): void {
		this.self = member;
		this.directory.merge(member);
		this.enqueueFull(member);
	}

	private sender(): Sender {
		const {id, incarnation, version} = this.self;
		return {id, incarnation, version};
	}

	private sendProbes(now: Millis): void {
		const watched = this.targets.watched();
		const isRandomDue = this.ticks % this.settings.probesPerRandomProbe === 0;
		this.ticks += 1;
		const drawn = watched.length === 0 || isRandomDue ? this.targets.next() : undefined;
		for (const target of new Set(drawn ? [...watched, drawn] : watched)) {
			this.probe(target, now);
		}
	}

	private probe(target: Member, now: Millis): void {
		if (this.host.mayProbe(target)) {
			const sequence = this.ping(target.id, true);
			const until = now + this.settings.directTimeout;
			this.probes.set(sequence, {target: target.id, isIndirect: false, until});
		}
	}

	private ping(target: string, isTracked: boolean): number {
		if (isTracked) {
			this.sequence += 1;
		}

		const sequence = isTracked ? this.sequence : 0;
		this.host.send(target, {
			type: GossipType.Ping,
			sender: this.sender(),
			sequence,
			piggyback: this.piggyback(target),
		});
		return sequence;
	}

	// A suspected receiver gets the suspicion first, so that it can refute it.
	private piggyback(receiver: string): Piggyback {
		const brief: BriefUpdate[] = [];
		const full: Member[] = [];
		const rumors: Rumor[] = [];
		const known = this.directory.get(receiver);
		if (known && known.liveness !== Liveness.Alive) {
			brief.push(toBriefUpdate(known));
			// The receiver may have declared this node dead as well, as after a network partition.
			full.push(this.self);
		}

		const isOtherRegion = known !== undefined && known.region !== this.self.region;
		const queue = isOtherRegion ? this.otherRegionQueue : this.sameRegionQueue;
		for (const update of queue.take(this.settings.piggybackBytes)) {
			if (update.brief) {
				brief.push(update.brief);
			} else if (update.full) {
				full.push(update.full);
			} else if (update.rumor) {
				rumors.push(update.rumor);
			}
		}

		return {brief, full, rumors, revisions: this.host.knownRevisions()};
	}

	private receivePing(message: Ping): void {
		const from = message.sender.id;
		this.mergePiggyback(message.piggyback, from);
		this.host.send(from, {
			type: GossipType.Ack,
			sender: this.sender(),
			sequence: message.sequence,
			subject: this.self.id,
			piggyback: this.piggyback(from),
		});
	}

	private receiveAck(message: Ack): void {
		this.mergePiggyback(message.piggyback, message.sender.id);
		const relay = this.relays.get(message.sequence);
		if (relay && message.subject === message.sender.id) {
			this.relays.delete(message.sequence);
			this.host.send(relay.origin, {
				...message,
				sender: this.sender(),
				sequence: relay.sequence,
				piggyback: this.piggyback(relay.origin),
			});
		}

		if (this.probes.get(message.sequence)?.target === message.subject) {
			this.probes.delete(message.sequence);
		}
	}

	private receivePingRequest(message: PingRequest): void {
		const until = this.clock.now() + this.settings.indirectTimeout;
		const sequence = this.ping(message.target, true);
		this.relays.set(sequence, {origin: message.sender.id, sequence: message.sequence, until});
	}

	private receiveDigest(message: Digest): void {
		this.mergeAndEnqueue(message.senderMember);
		const differing = new Set<number>();
		for (const [bucket, checksum] of this.directory.digest().entries()) {
			if (message.checksums[bucket] !== checksum) {
				differing.add(bucket);
			}
		}

		if (differing.size > 0) {
			this.shortenDigestPeriod();
		}

		this.sendBuckets(message.sender.id, differing);
	}

	private receiveEntries(message: Entries): void {
		this.host.handleKnownRevisions(message.revisions, message.sender.id);
		let isChanged = false;
		for (const member of message.members) {
			isChanged = this.mergeAndEnqueue(member) || isChanged;
		}

		if (isChanged) {
			this.shortenDigestPeriod();
		}
	}

	// Digests are sent often while member records differ and rarely while they are equal.
	// Source: RFC 6206, "The trickle algorithm".
	private shortenDigestPeriod(): void {
		this.digestPeriod = this.settings.minDigestPeriod;
		const soon = this.clock.now() + this.digestPeriod * (0.5 + this.random.next());
		this.nextDigest = Math.min(this.nextDigest, soon);
	}

	private sendBuckets(to: string, buckets: ReadonlySet<number>): void {
		const members: Member[] = [];
		for (const member of this.directory.all()) {
			if (!isUnconfirmed(member) && buckets.has(this.directory.bucketOf(member.id))) {
				members.push(member);
			}
		}

		// In random order, because the budget may run out before all records are sent.
		const shuffled = sample(members, members.length, this.random);
		for (let i = 0; i < shuffled.length; i += entriesPerMessage) {
			const chunk = shuffled.slice(i, i + entriesPerMessage);
			if (!this.repairBudget.trySpend(chunk.length * fullUpdateBytes)) {
				break;
			}

			this.sendEntries(to, chunk);
		}

		if (members.length === 0) {
			this.sendEntries(to, []);
		}
	}

	private sendEntries(to: string, members: readonly Member[]): void {
		this.host.send(to, {
			type: GossipType.Entries,
			sender: this.sender(),
			members,
			revisions: this.host.knownRevisions(),
		});
	}

	private mergePiggyback(piggyback: Piggyback, from: string): void {
		this.host.handleKnownRevisions(piggyback.revisions, from);
		for (const member of piggyback.full) {
			this.mergeAndEnqueue(member);
		}

		for (const update of piggyback.brief) {
			this.mergeBrief(update);
		}

		for (const rumor of piggyback.rumors) {
			if (this.rumors.addIfNew(rumor.id)) {
				this.enqueueRumor(rumor);
				this.host.handleRumor(rumor);
			}
		}
	}

	private mergeBrief(update: BriefUpdate): void {
		const known = this.directory.byHash(update.hash);
		if (known) {
			const {version, phase, liveness} = update;
			this.mergeAndEnqueue({...known, version, phase, liveness});
		}
	}

	private mergeAndEnqueue(member: Member): boolean {
		if (member.id === this.self.id) {
			this.refute(member);
			return false;
		}

		const previous = this.directory.get(member.id);
		if (!this.directory.merge(member)) {
			return false;
		}

		const isSameMember = previous?.incarnation === member.incarnation;
		const isSameContent =
			isSameMember && previous.service === member.service && previous.slots === member.slots;
		const isUrgent =
			member.liveness === Liveness.Suspect ||
			previous?.liveness === Liveness.Suspect ||
			member.phase === MemberPhase.Draining;
		if (isUrgent) {
			this.urgentBroadcastsLeft = urgentBroadcastCount;
		}

		if (isSameContent) {
			this.enqueueBrief(member, isUrgent);
		} else {
			this.enqueueFull(member);
		}

		return true;
	}

	// Refutes a wrong record of this node by announcing one that overrides it.
	private refute(member: Member): void {
		const {incarnation, version} = this.self;
		if (member.incarnation > incarnation) {
			this.replaceLocalMember({...this.self, incarnation: member.incarnation + 1});
			return;
		}

		const isSameIncarnation = member.incarnation === incarnation;
		const isWrong = member.liveness !== Liveness.Alive || member.phase !== this.self.phase;
		if (isSameIncarnation && member.version >= version && isWrong) {
			this.replaceLocalMember({...this.self, version: member.version + 1});
			this.urgentBroadcastsLeft = urgentBroadcastCount;
		}
	}

	// Any message confirms an unconfirmed member. An unknown sender gets a digest, which it answers with
	// its record.
	private recordSender(sender: Sender): void {
		const known = this.directory.get(sender.id);
		if (known && isUnconfirmed(known)) {
			this.directory.merge({
				...known,
				incarnation: sender.incarnation,
				version: unconfirmedVersion,
				phase: MemberPhase.Serving,
			});
		}

		const isUnknown = !known || known.incarnation < sender.incarnation;
		const now = this.clock.now();
		if (isUnknown && sender.id !== this.self.id && now >= this.nextIntroductionAt) {
			this.nextIntroductionAt = now + this.settings.probePeriod;
			this.host.send(sender.id, this.digest());
		}
	}

	private digest(): Digest {
		return {
			type: GossipType.Digest,
			sender: this.sender(),
			senderMember: this.self,
			checksums: Uint32Array.from(this.directory.digest()),
		};
	}

	private sendDigest(now: Millis): void {
		if (now < this.nextDigest) {
			return;
		}

		// Jittered, so that nodes that start together don't send at the same time.
		this.nextDigest = now + this.digestPeriod * (0.5 + this.random.next());
		this.digestPeriod = Math.min(this.settings.maxDigestPeriod, this.digestPeriod * 2);
		const target = this.targets.next();
		if (target && this.host.mayProbe(target)) {
			this.host.send(target.id, this.digest());
		}
	}

	// After a network partition each side has declared the other dead; these probes reconnect them.
	private probeDeadMember(now: Millis): void {
		if (now < this.nextDeadMemberProbe) {
			return;
		}

		this.nextDeadMemberProbe = now + this.settings.deadMemberProbePeriod;
		const dead: string[] = [];
		for (const id of this.tombstones.keys()) {
			if (this.directory.get(id)?.liveness === Liveness.Dead) {
				dead.push(id);
			}
		}

		if (dead.length > 0) {
			this.ping(dead[this.random.below(dead.length)]!, false);
		}
	}

	private expireProbes(now: Millis): void {
		for (const [sequence, probe] of this.probes) {
			if (now < probe.until) {
				continue;
			}

			if (probe.isIndirect) {
				this.probes.delete(sequence);
				this.suspect(probe.target);
			} else {
				this.probeIndirectly(sequence, probe, now);
			}
		}

		for (const [sequence, relay] of this.relays) {
			if (now >= relay.until) {
				this.relays.delete(sequence);
			}
		}
	}

	private probeIndirectly(sequence: number, probe: Probe, now: Millis): void {
		probe.isIndirect = true;
		probe.until = now + this.settings.indirectTimeout;
		const target = this.directory.get(probe.target);
		if (!target) {
			return;
		}

		for (const helper of this.targets.samplePeers(this.settings.indirectProbes, target)) {
			this.host.send(helper.id, {
				type: GossipType.PingRequest,
				sender: this.sender(),
				sequence,
				target: probe.target,
			});
		}
	}

	private suspect(id: string): void {
		const member = this.directory.get(id);
		if (member?.liveness === Liveness.Alive && isPresent(member)) {
			this.mergeAndEnqueue({...member, liveness: Liveness.Suspect});
		}
	}

	private trackLiveness(member: Member): void {
		const now = this.clock.now();
		if (member.liveness === Liveness.Suspect) {
			this.suspicions.set(member.id, now + this.settings.suspicionTime);
		} else {
			this.suspicions.delete(member.id);
		}

		if (isPresent(member)) {
			this.tombstones.delete(member.id);
		} else {
			this.tombstones.set(member.id, now + this.settings.tombstoneTime);
		}
	}

	// Each node uses its own suspicion timer, so that a failure needs one update (suspect) and not two.
	private expireSuspicions(now: Millis): void {
		for (const [id, until] of this.suspicions) {
			const member = this.directory.get(id);
			if (member && now >= until) {
				this.directory.merge({...member, liveness: Liveness.Dead});
			}
		}
	}

	private expireTombstones(now: Millis): void {
		for (const [id, until] of this.tombstones) {
			if (now >= until) {
				invariant(id !== this.self.id, 'the tombstone of the local member must not expire');
				this.tombstones.delete(id);
				this.directory.remove(id);
			}
		}
	}

	// Probes that expired during a pause say nothing about the peers, which may suspect this node: its
	// new version refutes that.
	private recoverFromPause(pause: Millis, now: Millis): void {
		this.probes.clear();
		this.relays.clear();
		for (const id of this.suspicions.keys()) {
			this.suspicions.set(id, now + this.settings.suspicionTime);
		}

		this.nextDigest = now;
		this.replaceLocalMember({...this.self, version: this.self.version + 1});
		this.host.handlePause(pause);
	}

	private enqueueBrief(member: Member, isUrgent: boolean): void {
		const copies = isUrgent ? this.settings.urgentCopies : undefined;
		this.enqueue({topic: member.id, size: briefUpdateBytes, copies, brief: toBriefUpdate(member)});
	}

	private enqueueFull(member: Member): void {
		this.enqueue({topic: member.id, size: fullUpdateBytes, full: member});
	}

	private enqueueRumor(rumor: Rumor): void {
		this.enqueue({topic: `rumor ${rumor.id}`, size: rumorBytes(rumor), rumor});
	}

	// Few messages go to other regions: they have their own queue, or messages within the region would
	// use up the copies of an update first.
	private enqueue(update: QueuedUpdate): void {
		this.sameRegionQueue.push(update);
		if (this.directory.hasSeenOtherRegion(this.self.region)) {
			this.otherRegionQueue.push(update);
		}
	}
}

function toBriefUpdate(member: Member): BriefUpdate {
	const {version, phase, liveness} = member;
	return {hash: memberHash(member), version, phase, liveness};
}

/**
 * Creates the first record of the local node, or the placeholder of a remote node that is unconfirmed.
 * @param id - address and link port.
 * @param incarnation - incarnation of this start of the process; that of unconfirmed members for a placeholder.
 * @param place - region and zone of the node.
 * @returns the record of a node that has just started.
 */
export function createLocalMember(
	id: string,
	incarnation: number,
	place: Pick<Member, 'region' | 'zone'>,
): Member {
	return {
		id,
		incarnation,
		version: 1,
		phase: MemberPhase.Joining,
		liveness: Liveness.Alive,
		region: place.region,
		zone: place.zone,
		service: '',
		slots: 0,
	};
}
