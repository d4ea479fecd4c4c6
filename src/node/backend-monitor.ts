import {createActor} from 'xstate';
import {BackendEvent, backendMachine, BackendState, warmingSlots} from '../backend/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import type {Executor} from '../executor/index.js';
import {MemberPhase, type Gossip} from '../membership/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {AnnouncedState, type Announcement, type Departure} from './announcement.js';
import {AnnouncementOrder} from './announcement-order.js';
import type {ColdMonitor} from './cold-monitor.js';

/** Collaborators of {@link BackendMonitor}. */
export interface BackendMonitorDependencies {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly executor: Executor;
	readonly gossip: Gossip;
	readonly revisions: RevisionTracker;
	/** Collects what is known about the coldness of the backend server, if the deployment bounds it. */
	readonly cold?: ColdMonitor | undefined;
	/** Time without an announcement after which the backend server counts as gone, in ms. */
	readonly announcementTimeout?: Millis;
	/** Whether this process replaces one that may have processed later announcements. */
	readonly isRestart: boolean;
	/** Service of the backend server by the settings; empty if they don't name it. */
	readonly ownService: string;
}

/** What becomes of an announcement. */
export enum AnnouncementEnd {
	Accepted = 'accepted',
	/** Late or repeated: what it says is known, or no longer true. */
	Superseded = 'superseded',
	/** It has no effect, so that its sender must not take it for acknowledged. */
	Refused = 'refused',
}

const checkPeriod: Millis = 400;
/** More than a backend server sends within the announcement timeout, with repetitions. */
const maxAnnouncements = 12;
/** Four announcement periods of a backend server that uses the native announcement protocol. */
const defaultAnnouncementTimeout: Millis = 4 * second;
/** Factor by which a call takes longer while the backend server warms up. */
const warmingSlowdown = 2;
const defaultConnections = 100;
const defaultQueue = 40;
const defaultWarmUp: Millis = 5 * second;

/** Tracks the lifecycle of the backend server on this VM. */
export class BackendMonitor {
	private readonly lifecycle = createActor(backendMachine).start();
	private announcement: Announcement | undefined;
	/** Last start of the backend server that announced that it is draining. */
	private drained: Departure | undefined;
	/** Last start of the backend server whose departure was received. */
	private departed: Departure | undefined;
	private announcedAt: Millis = 0;
	/** Order of the announcements of one start. */
	private order: {readonly start: Departure; readonly sequences: AnnouncementOrder} | undefined;
	private startedAt: Millis = 0;
	private isNodeDraining = false;
	/** Announcement of a serving backend server that may be outdated; see `isConfirmed`. */
	private unconfirmed: Departure | undefined;
	/** Instance whose health path told last that it takes no requests, while no announcement counted. */
	private unready: string | undefined;
	private readonly createdAt: Millis;

	constructor(private readonly deps: BackendMonitorDependencies) {
		this.createdAt = deps.clock.now();
		deps.clock.repeat(checkPeriod, () => {
			this.checkAnnouncementAge();
		});
	}

	get state(): BackendState {
		return this.lifecycle.getSnapshot().value;
	}

	/** Whether an announcement or a departure was received since this node started. */
	get hasAnnounced(): boolean {
		return this.announcement !== undefined || this.departed !== undefined;
	}

	/** Whether a backend server is present, draining or not. */
	get isPresent(): boolean {
		return this.state !== BackendState.Absent;
	}

	/**
	 * Whether announcements of the instance that the health path called unready are left out, because this node has started
	 * again. It ends with the announcement timeout, as those sent before the start have arrived by then.
	 */
	get isInDoubt(): boolean {
		const isRecent = this.deps.clock.now() - this.createdAt <= this.announcementTimeout;
		return this.deps.isRestart && this.unready !== undefined && isRecent;
	}

	/** The last accepted announcement; undefined if there is none. */
	get current(): Announcement | undefined {
		return this.announcement;
	}

	/**
	 * Handles an announcement: attaches a new backend server, or updates the state of the known one.
	 * @param announcement - the announcement; it may be late, repeated or out of order.
	 * @returns what has become of it.
	 */
	handleAnnouncement(announcement: Announcement): AnnouncementEnd {
		const misfit = this.reasonToRefuse(announcement);
		if (misfit !== undefined) {
			this.logIgnored(announcement, misfit);
			return AnnouncementEnd.Refused;
		}

		if (this.isNodeDraining) {
			return AnnouncementEnd.Superseded;
		}

		const reason = this.reasonToIgnore(announcement);
		if (reason !== undefined) {
			this.logIgnored(announcement, reason);
			return AnnouncementEnd.Superseded;
		}

		if (!this.isConfirmed(announcement)) {
			const {instance, sequence} = announcement;
			this.deps.logger.log(logEvents.announcementUnconfirmed, {instance, sequence});
			this.unconfirmed = announcement;
			return AnnouncementEnd.Accepted;
		}

		const previous = this.announcement;
		this.announcement = announcement;
		this.announcedAt = this.deps.clock.now();
		const isAbsent = this.state === BackendState.Absent;
		if (isAbsent || !isSameStart(previous, announcement)) {
			this.attach(announcement, isAbsent);
		}

		if (announcement.warmUpLeft !== undefined) {
			this.deps.cold?.recordHeartbeat(announcement.warmUpLeft);
		}

		const isDraining = announcement.state === AnnouncedState.Draining;
		if (isDraining || isSameStart(this.drained, announcement)) {
			this.drained = announcement;
			this.drain();
		}

		this.applyLimits();
		return AnnouncementEnd.Accepted;
	}

	/**
	 * Drains the backend server after it has announced its departure.
	 * @param departure - the start that departs; a departure of another start is only recorded.
	 */
	handleDeparture(departure: Departure): void {
		this.departed = departure;
		const {instance, startedAt} = departure;
		this.deps.logger.log(logEvents.backendDeparted, {instance, startedAt});
		if (isSameStart(this.announcement, departure)) {
			this.drain();
		}
	}

	/**
	 * Drains the backend server because it says in an answer that it leaves.
	 * @param instance - instance that has answered; another one than the known one is ignored.
	 */
	handleLeaving(instance: string): void {
		const {announcement} = this;
		if (announcement?.instance === instance) {
			this.drained = announcement;
			this.drain();
		}
	}

	/**
	 * Records that the health path answered that the backend server takes no requests. It may have left before this process
	 * started, and announcements that were sent earlier may still arrive.
	 * @param instance - instance that has answered.
	 */
	handleUnready(instance: string): void {
		this.unready = instance;
	}

	/**
	 * Treats the backend server as cold until a heartbeat or the health path tells otherwise, since it got
	 * no requests for an unknown time. Has no effect if the deployment does not bound cold backend servers.
	 */
	assumeCold(): void {
		this.deps.cold?.assume();
	}

	/** Factor by which a call takes longer because the backend server has just started. */
	private get warmUpSlowdown(): number {
		const left = this.announcement?.warmUpLeft ?? 0;
		return this.deps.clock.now() - this.announcedAt < left ? warmingSlowdown : 1;
	}

	/** Detaches the backend server because it refuses connections, whatever it announced last. */
	markUnreachable(): void {
		if (this.state !== BackendState.Absent) {
			this.detach();
		}
	}

	/** Drains the backend server because the node stops; calls in flight finish. */
	drainNode(): void {
		this.isNodeDraining = true;
		this.drain();
	}

	private get announcementTimeout(): Millis {
		return this.deps.announcementTimeout ?? defaultAnnouncementTimeout;
	}

	// What fits no backend server that may be here changes nothing for the one that is.
	private reasonToRefuse(announcement: Announcement): string | undefined {
		const {service} = announcement;
		const known = this.announcement;
		const isKnownStart = known !== undefined && isSameStart(known, announcement);
		if (isKnownStart) {
			return known.service === service ? undefined : 'of another service than its start';
		}

		const {revisions, ownService} = this.deps;
		const isConfigured = revisions.inForce?.service(service) !== undefined;
		const mayBeConfigured = ownService === '' && !revisions.inForce;
		const isKnown = service === ownService || isConfigured || mayBeConfigured;
		return isKnown ? undefined : 'of an unknown service';
	}

	private logIgnored({instance, state, sequence}: Announcement, reason: string): void {
		this.deps.logger.log(logEvents.announcementRejected, {instance, state, sequence, reason});
	}

	// Announcements cross a network and can arrive late, twice or out of order.
	private reasonToIgnore(announcement: Announcement): string | undefined {
		if (isSameStart(this.departed, announcement)) {
			return 'it has left';
		}

		if (announcement.startedAt === undefined) {
			return undefined;
		}

		const known = this.announcement;
		const isEarlier =
			known?.startedAt !== undefined &&
			!isSameStart(known, announcement) &&
			announcement.startedAt < known.startedAt;
		if (isEarlier && this.state !== BackendState.Absent) {
			return 'from an earlier start';
		}

		// A start that leaves does not come back, so that a late notice of it still holds.
		const isLeaving = announcement.state === AnnouncedState.Draining;
		return this.isInOrder(announcement) || isLeaving ? undefined : 'out of order';
	}

	private isInOrder(announcement: Announcement): boolean {
		const {sequence = 0} = announcement;
		const now = this.deps.clock.now();
		if (this.order && isSameStart(this.order.start, announcement)) {
			return this.order.sequences.accept(sequence, now);
		}

		const minPeriod = this.announcementTimeout / maxAnnouncements;
		const sequences = new AnnouncementOrder(sequence, now, minPeriod);
		this.order = {start: announcement, sequences};
		return true;
	}

	// The first announcement after a restart of the node may be outdated: the backend server may have
	// departed since, and the process that acknowledged the departure is gone. The announcement counts
	// once the health path reports the same instance or a later announcement of the same start follows,
	// unless the health path tells that the instance takes no requests.
	private isConfirmed(announcement: Announcement): boolean {
		const {instance, startedAt} = announcement;
		const isOrderedServing =
			startedAt !== undefined && announcement.state === AnnouncedState.Serving;
		const found = this.announcement;
		const isFirst = this.deps.isRestart && found === undefined;
		const isOtherThanFound =
			found !== undefined && found.startedAt === undefined && found.instance !== instance;
		if (!isOrderedServing || !(isFirst || isOtherThanFound)) {
			return true;
		}

		if (this.isInDoubt && this.unready === instance) {
			return false;
		}

		return isSameStart(this.unconfirmed, announcement);
	}

	private attach(announcement: Announcement, isAbsent: boolean): void {
		const {address, port, service, instance} = announcement;
		const policy = this.deps.revisions.inForce?.service(service);
		const connections = announcement.connections ?? policy?.connections ?? defaultConnections;
		const {executor, logger, clock} = this.deps;
		this.startedAt = clock.now();
		if (!isAbsent) {
			executor.detach();
		}

		executor.attach({endpoint: {address, port}, instance, connections}, service);
		this.deps.cold?.attach(instance, this.coldRateOf(service), announcement.warmUpLeft);
		const type = isAbsent ? BackendEvent.Announced : BackendEvent.Restarted;
		this.lifecycle.send({type});
		logger.log(logEvents.backendAnnounced, {service, instance});
		this.declare(MemberPhase.Serving);
	}

	private detach(): void {
		this.deps.executor.detach();
		this.lifecycle.send({type: BackendEvent.Silent});
		this.deps.logger.log(logEvents.backendGone, {instance: this.announcement?.instance});
		this.declare(this.isNodeDraining ? MemberPhase.Draining : MemberPhase.Joining);
	}

	private drain(): void {
		if (this.state === BackendState.Draining) {
			return;
		}

		this.deps.executor.drain();
		this.lifecycle.send({type: BackendEvent.Drained});
		this.deps.logger.log(logEvents.backendDraining, {instance: this.announcement?.instance});
		this.declare(MemberPhase.Draining);
	}

	private checkAnnouncementAge(): void {
		const isOverdue = this.deps.clock.now() - this.announcedAt > this.announcementTimeout;
		if (isOverdue && this.state !== BackendState.Absent && !this.isNodeDraining) {
			this.detach();
		}

		this.applyLimits();
	}

	private applyLimits(): void {
		const {announcement} = this;
		if (!announcement || this.state === BackendState.Absent) {
			return;
		}

		const policy = this.deps.revisions.inForce?.service(announcement.service);
		const age = this.deps.clock.now() - this.startedAt;
		const warmUp = policy?.warmUp ?? defaultWarmUp;
		const connections = announcement.connections ?? policy?.connections ?? announcement.slots;
		const slots = Math.min(announcement.slots, connections);
		const isWarm = age >= warmUp;
		this.deps.cold?.setRate(this.coldRateOf(announcement.service));
		this.deps.executor.setWarmUp(this.warmUpSlowdown);
		this.deps.executor.setLimits(
			isWarm ? slots : warmingSlots(slots, age, warmUp),
			policy?.queue ?? defaultQueue,
		);
		if (isWarm && this.state === BackendState.Warming) {
			this.lifecycle.send({type: BackendEvent.Warmed});
		}
	}

	// Without a configuration, the tolerated rate is not known: the allowance of the deployment alone applies.
	private coldRateOf(service: string): number | undefined {
		const {inForce} = this.deps.revisions;
		return inForce ? inForce.service(service)?.coldRate : 0;
	}

	private declare(phase: MemberPhase): void {
		const service = this.announcement?.service ?? '';
		const slots = this.announcement?.slots ?? 0;
		this.deps.gossip.updateLocalMember({phase, service, slots});
		this.deps.gossip.broadcastUpdates(3);
	}
}

function isSameStart(a: Departure | undefined, b: Departure): boolean {
	const isStartUnknown = a?.startedAt === undefined || b.startedAt === undefined;
	return a?.instance === b.instance && (isStartUnknown || a.startedAt === b.startedAt);
}
