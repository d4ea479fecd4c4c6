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
import {SeenRumors} from './rumor-memory.js';
import {UpdateQueue, type QueuedUpdate} from './update-queue.js';

/** What the gossip needs from its host. */
export interface GossipHost {
	/**
	 * Sends a datagram; it may be lost.
	 * @param to - id of the receiver, which is its address.
	 * @param message - what to send.
	 */
	send(to: string, message: GossipMessage): void;
	/**
	 * @param member - a member that is to be probed.
	 * @returns whether the budget of the link to it allows that.
	 */
	mayProbe(member: Member): boolean;
	/** @returns the newest revisions that this node has heard of. */
	knownRevisions(): KnownRevisions;
	/**
	 * Hears what a peer knows of revisions.
	 * @param news - the peer's newest revisions.
	 * @param from - id of the peer.
	 */
	handleKnownRevisions(news: KnownRevisions, from: string): void;
	/**
	 * Hears a rumor for the first time.
	 * @param rumor - the news.
	 */
	handleRumor(rumor: Rumor): void;
	/**
	 * Hears which revision a peer holds.
	 * @param held - the peer's message.
	 */
	handleHeldRevision(held: HeldRevision): void;
	/**
	 * Learns that this process was not scheduled for a while.
	 * @param pause - how long, in ms.
	 */
	handlePause(pause: Millis): void;
}

/** What a gossip is made of. */
export interface GossipDependencies {
	readonly settings: GossipSettings;
	readonly clock: Pick<Clock, 'now'>;
	readonly random: Random;
	readonly host: GossipHost;
}

type Probe = {target: string; isIndirect: boolean; until: Millis};
type Relay = {origin: string; sequence: number; until: Millis};

const briefSize = 9;
const fullSize = 96;
const rumorOverhead = 24;
const entriesPerMessage = 12;
/** Seconds of the repair budget that can be saved up, so that a newcomer is served at once. */
const repairDepth = 10;
/** Seconds of the budget of urgent pushes that can be saved up. */
const urgentDepth = 4;
const urgentFanOut = 3;
/** Pushes of urgent news by each member that hears it. With one, one member in 20 hears nothing. */
const urgentPushes = 3;

function rumorSize(rumor: Rumor): number {
	let size = rumorOverhead + rumor.id.length;
	for (const field of rumor.fields) {
		size += field.length + 2;
	}

	return size;
}

/**
 * Membership by gossip: each node probes others at a fixed rate and news rides on the probes, so
 * that the cost of a node does not grow with the number of nodes.
 * Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group
 * membership protocol", 2002.
 */
export class Gossip {
	readonly directory = new Directory();
	private readonly nearQueue: UpdateQueue;
	private readonly farQueue: UpdateQueue;
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
	private nextReachOut: Millis;
	private ticks = 0;
	private urgentPushesLeft = 0;
	private readonly urgentBudget: TokenBucket;
	private digestPeriod: Millis;
	private readonly repairBudget: TokenBucket;
	private readonly doubtBudget: TokenBucket;
	private quietUntil = 0;
	private heardAt: Millis;

	private readonly settings: GossipSettings;
	private readonly clock: Pick<Clock, 'now'>;
	private readonly random: Random;
	private readonly host: GossipHost;

	constructor(self: Member, parts: GossipDependencies) {
		const {settings, clock, random, host} = parts;
		this.self = self;
		this.settings = settings;
		this.clock = clock;
		this.random = random;
		this.host = host;
		this.nearQueue = new UpdateQueue(settings.copies, settings.queueCapacity);
		this.farQueue = new UpdateQueue(settings.farCopies, settings.queueCapacity);
		this.targets = new ProbeTargets(() => this.self, this.directory, settings, random);
		this.lastTick = clock.now();
		this.heardAt = clock.now();
		this.nextDigest = clock.now();
		this.nextReachOut = clock.now();
		this.digestPeriod = settings.minDigestPeriod;
		this.urgentBudget = new TokenBucket(clock, settings.urgentBroadcastRate, urgentDepth);
		this.repairBudget = new TokenBucket(clock, settings.repairBytesPerSecond, repairDepth);
		this.doubtBudget = new TokenBucket(
			clock,
			settings.suspicionProbeRate,
			settings.suspicionProbeBurstSeconds,
		);
		this.directory.registerListener((member) => {
			this.trackLiveness(member);
		});
		this.directory.merge(self);
	}

	/** The node's own account. */
	get localMember(): Member {
		return this.self;
	}

	/** When something last came from any member. */
	get lastReceivedAt(): Millis {
		return this.heardAt;
	}

	/** Pieces of news that still wait to be sent. */
	get pendingUpdates(): number {
		return this.nearQueue.size;
	}

	/**
	 * Declares a change of this node.
	 * @param change - what is new.
	 */
	updateLocalMember(change: Partial<Pick<Member, 'phase' | 'service' | 'slots'>>): void {
		this.replaceSelf({...this.self, ...change, version: this.self.version + 1});
	}

	/**
	 * Tells every member a piece of news.
	 * @param rumor - the news.
	 */
	spreadRumor(rumor: Rumor): void {
		if (this.rumors.addIfNew(rumor.id)) {
			this.enqueueRumor(rumor);
			this.host.handleRumor(rumor);
		}
	}

	/**
	 * Introduces this node to a peer that may not know it.
	 * @param peer - address of the peer.
	 */
	join(peer: string): void {
		this.host.send(peer, this.digest());
	}

	/**
	 * Greets a member that the store names. Once it gives a sign of life it is taken for one that
	 * serves, until its account comes.
	 * @param id - address of the member.
	 * @param place - where it stands, and the service of its backend server.
	 */
	addUnconfirmed(id: string, place: Pick<Member, 'region' | 'zone' | 'service'>): void {
		if (!this.directory.get(id)) {
			const placeholder = createLocalMember(id, unconfirmedIncarnation, place);
			this.directory.merge({...placeholder, service: place.service});
			this.ping(id, false);
		}
	}

	/**
	 * Sends what is new to some members of the region at once, without waiting for the next probe.
	 * @param count - how many members.
	 */
	broadcastUpdates(count: number): void {
		for (const peer of this.targets.samplePeers(count, this.self)) {
			this.ping(peer.id, false);
		}
	}

	/** Sends the news to some peers at once; for a node that is about to leave. */
	flush(): void {
		const peers = [...this.directory.all()].filter(
			(member) => member.id !== this.self.id && isPresent(member),
		);
		for (const peer of peers.slice(0, this.settings.copies * 2)) {
			this.ping(peer.id, false);
		}
	}

	/**
	 * Tells a reader which revision this node holds.
	 * @param reader - id of the reader.
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

	/** Whether {@link checkProbes} has something to look after. */
	get hasPendingChecks(): boolean {
		return this.urgentPushesLeft > 0 || this.probes.size > 0 || this.relays.size > 0;
	}

	/**
	 * Probes a member at once, as a link to it broke without a word.
	 * @param id - address of the member.
	 */
	sendSuspicionProbe(id: string): void {
		const member = this.directory.get(id);
		const isTrusted = member?.liveness === Liveness.Alive && isPresent(member);
		const isProbed = [...this.probes.values()].some(({target}) => target === id);
		if (isTrusted && !isProbed && this.doubtBudget.trySpend(1)) {
			this.probe(member, this.clock.now());
		}
	}

	/** Does what is due; called once a probe period. */
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
		this.reachOut(now);
	}

	/** Looks for probes that went unanswered; called often while {@link hasPendingChecks}. */
	checkProbes(): void {
		const now = this.clock.now();
		if (now - this.lastTick < this.settings.probePeriod + this.settings.pauseThreshold) {
			this.expireProbes(now);
			this.pushUrgent();
		}
	}

	/**
	 * Takes in a message.
	 * @param message - what came.
	 */
	receive(message: GossipMessage): void {
		this.heardAt = this.clock.now();
		this.noteSender(message.sender);
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

	// Who must get no new work is told at once; the budget bounds what the loss of a zone costs.
	private pushUrgent(): void {
		if (this.urgentPushesLeft > 0 && this.urgentBudget.trySpend(1)) {
			this.urgentPushesLeft -= 1;
			this.broadcastUpdates(urgentFanOut);
		}
	}

	private replaceSelf(member: Member): void {
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

	private ping(target: string, isCounted: boolean): number {
		if (isCounted) {
			this.sequence += 1;
		}

		const sequence = isCounted ? this.sequence : 0;
		this.host.send(target, {
			type: GossipType.Ping,
			sender: this.sender(),
			sequence,
			piggyback: this.piggyback(target),
		});
		return sequence;
	}

	// A suspect hears first of all that it is suspected, so that it can object.
	private piggyback(receiver: string): Piggyback {
		const brief: BriefUpdate[] = [];
		const full: Member[] = [];
		const rumors: Rumor[] = [];
		const known = this.directory.get(receiver);
		if (known && known.liveness !== Liveness.Alive) {
			brief.push(briefOf(known));
			// It may hold this node for dead as well, as after a cut.
			full.push(this.self);
		}

		const isFar = known !== undefined && known.region !== this.self.region;
		const queue = isFar ? this.farQueue : this.nearQueue;
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
		this.takePiggyback(message.piggyback, from);
		this.host.send(from, {
			type: GossipType.Ack,
			sender: this.sender(),
			sequence: message.sequence,
			subject: this.self.id,
			piggyback: this.piggyback(from),
		});
	}

	private receiveAck(message: Ack): void {
		this.takePiggyback(message.piggyback, message.sender.id);
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
		this.mergeAndSpread(message.senderMember);
		const differing = new Set<number>();
		for (const [bucket, checksum] of this.directory.digest().entries()) {
			if (message.checksums[bucket] !== checksum) {
				differing.add(bucket);
			}
		}

		if (differing.size > 0) {
			this.noteDisagreement();
		}

		this.sendBuckets(message.sender.id, differing);
	}

	private receiveEntries(message: Entries): void {
		this.host.handleKnownRevisions(message.revisions, message.sender.id);
		let isChanged = false;
		for (const member of message.members) {
			isChanged = this.mergeAndSpread(member) || isChanged;
		}

		if (isChanged) {
			this.noteDisagreement();
		}
	}

	// Digests come quickly while members disagree and seldom while they agree.
	// Source: RFC 6206, "The trickle algorithm".
	private noteDisagreement(): void {
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

		// In random order, as the budget may end before the list does.
		const shuffled = sample(members, members.length, this.random);
		for (let i = 0; i < shuffled.length; i += entriesPerMessage) {
			const chunk = shuffled.slice(i, i + entriesPerMessage);
			if (!this.repairBudget.trySpend(chunk.length * fullSize)) {
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

	private takePiggyback(piggyback: Piggyback, from: string): void {
		this.host.handleKnownRevisions(piggyback.revisions, from);
		for (const member of piggyback.full) {
			this.mergeAndSpread(member);
		}

		for (const update of piggyback.brief) {
			this.takeBrief(update);
		}

		for (const rumor of piggyback.rumors) {
			if (this.rumors.addIfNew(rumor.id)) {
				this.enqueueRumor(rumor);
				this.host.handleRumor(rumor);
			}
		}
	}

	private takeBrief(update: BriefUpdate): void {
		const known = this.directory.byHash(update.hash);
		if (known) {
			const {version, phase, liveness} = update;
			this.mergeAndSpread({...known, version, phase, liveness});
		}
	}

	private mergeAndSpread(member: Member): boolean {
		if (member.id === this.self.id) {
			this.defend(member);
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
			this.urgentPushesLeft = urgentPushes;
		}

		if (isSameContent) {
			this.enqueueBrief(member, isUrgent);
		} else {
			this.enqueueFull(member);
		}

		return true;
	}

	// Somebody says something of this node that is not so: a newer version overrides it.
	private defend(member: Member): void {
		const {incarnation, version} = this.self;
		if (member.incarnation > incarnation) {
			this.replaceSelf({...this.self, incarnation: member.incarnation + 1});
			return;
		}

		const isSameIncarnation = member.incarnation === incarnation;
		const isWrong = member.liveness !== Liveness.Alive || member.phase !== this.self.phase;
		if (isSameIncarnation && member.version >= version && isWrong) {
			this.replaceSelf({...this.self, version: member.version + 1});
			this.urgentPushesLeft = urgentPushes;
		}
	}

	// A message from a member is a sign of life; an unknown sender is asked for its account.
	private noteSender(sender: Sender): void {
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
		if (isUnknown && sender.id !== this.self.id && now >= this.quietUntil) {
			this.quietUntil = now + this.settings.probePeriod;
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

		// Spread over time, so that nodes started together don't send together.
		this.nextDigest = now + this.digestPeriod * (0.5 + this.random.next());
		this.digestPeriod = Math.min(this.settings.maxDigestPeriod, this.digestPeriod * 2);
		const target = this.targets.next();
		if (target && this.host.mayProbe(target)) {
			this.host.send(target.id, this.digest());
		}
	}

	// Two halves of a cut take each other for dead; this lets them find each other afterwards.
	private reachOut(now: Millis): void {
		if (now < this.nextReachOut) {
			return;
		}

		this.nextReachOut = now + this.settings.deadMemberProbePeriod;
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
			this.mergeAndSpread({...member, liveness: Liveness.Suspect});
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

	// Each node lets its own timer run out, so that a death costs one message and not two.
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
				invariant(id !== this.self.id, 'a node never buries itself');
				this.tombstones.delete(id);
				this.directory.remove(id);
			}
		}
	}

	// What went unanswered during a pause says nothing about the others; they may suspect this node.
	private recoverFromPause(pause: Millis, now: Millis): void {
		this.probes.clear();
		this.relays.clear();
		for (const id of this.suspicions.keys()) {
			this.suspicions.set(id, now + this.settings.suspicionTime);
		}

		this.nextDigest = now;
		this.replaceSelf({...this.self, version: this.self.version + 1});
		this.host.handlePause(pause);
	}

	private enqueueBrief(member: Member, isUrgent: boolean): void {
		const copies = isUrgent ? this.settings.urgentCopies : undefined;
		this.enqueue({topic: member.id, size: briefSize, copies, brief: briefOf(member)});
	}

	private enqueueFull(member: Member): void {
		this.enqueue({topic: member.id, size: fullSize, full: member});
	}

	private enqueueRumor(rumor: Rumor): void {
		this.enqueue({topic: `rumor ${rumor.id}`, size: rumorSize(rumor), rumor});
	}

	// Few probes leave the region: news for them waits apart, or it would be used up before one goes.
	private enqueue(update: QueuedUpdate): void {
		this.nearQueue.push(update);
		if (this.directory.hasSeenOtherRegion(this.self.region)) {
			this.farQueue.push(update);
		}
	}
}

function briefOf(member: Member): BriefUpdate {
	const {version, phase, liveness} = member;
	return {hash: memberHash(member), version, phase, liveness};
}

/**
 * @param id - address and link port.
 * @param incarnation - number of this start.
 * @param place - where the node stands.
 * @returns the account of a node that has just started.
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
