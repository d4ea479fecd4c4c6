import {createActor} from 'xstate';
import {BackendEvent, backendMachine, BackendState, warmingSlots} from '../backend/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import type {Executor} from '../executor/index.js';
import {MemberPhase, type Gossip} from '../membership/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {AnnouncedState, type Announcement, type Departure} from './announcement.js';

/** What a backend keeper is made of. */
export interface BackendMonitorDependencies {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly executor: Executor;
	readonly gossip: Gossip;
	readonly revisions: RevisionTracker;
	/** A backend server that has not announced itself for so long is taken for gone, in ms. */
	readonly announcementTimeout?: Millis;
	/** Whether this process took the place of one that may have known more of the backend server. */
	readonly isRestart: boolean;
}

const watchPeriod: Millis = 400;
/** Four of the product's own announcements. */
const defaultSilenceLimit: Millis = 4 * second;
/** How much longer work takes while a backend server warms up. Source: the users' sheets. */
const warmingSlowdown = 2;
const defaultConnections = 100;
const defaultQueue = 40;
const defaultWarmUp: Millis = 5 * second;

/** Follows the lifecycle of the backend server beside this node. */
export class BackendMonitor {
	private readonly lifecycle = createActor(backendMachine).start();
	private announcement: Announcement | undefined;
	/** The start of the backend server that last said that it drains. */
	private drained: Departure | undefined;
	/** The start of the backend server that last said that it has left. */
	private departed: Departure | undefined;
	private announcedAt: Millis = 0;
	private startedAt: Millis = 0;
	private isNodeDraining = false;
	/** Says that it serves, but may have said so long ago. */
	private unconfirmed: Announcement | undefined;

	constructor(private readonly parts: BackendMonitorDependencies) {
		parts.clock.repeat(watchPeriod, () => {
			this.watch();
		});
	}

	get state(): BackendState {
		return this.lifecycle.getSnapshot().value;
	}

	/** Whether a backend server has said something since this node started. */
	get hasAnnounced(): boolean {
		return this.announcement !== undefined || this.departed !== undefined;
	}

	/** Whether there is a backend server, draining or not. */
	get isPresent(): boolean {
		return this.state !== BackendState.Absent;
	}

	/** The last announcement of the backend server; undefined while there is none. */
	get current(): Announcement | undefined {
		return this.announcement;
	}

	/**
	 * The backend server has announced itself.
	 * @param announcement - what it says.
	 */
	handleAnnouncement(announcement: Announcement): void {
		if (this.isNodeDraining) {
			return;
		}

		const reason = this.reasonToIgnore(announcement);
		if (reason !== undefined) {
			const {instance, state, sequence} = announcement;
			this.parts.logger.log(logEvents.announcementRejected, {instance, state, sequence, reason});
			return;
		}

		if (!this.isConfirmed(announcement)) {
			const {instance, sequence} = announcement;
			this.parts.logger.log(logEvents.announcementUnconfirmed, {instance, sequence});
			// The latest of a start stays, so that an older one cannot be followed by it once more.
			if (!isSameStart(this.unconfirmed, announcement)) {
				this.unconfirmed = announcement;
			}

			return;
		}

		const previous = this.announcement;
		this.announcement = announcement;
		this.announcedAt = this.parts.clock.now();
		const isAbsent = this.state === BackendState.Absent;
		if (isAbsent || !isSameStart(previous, announcement)) {
			this.attach(announcement, isAbsent);
		}

		const isDraining = announcement.state === AnnouncedState.Draining;
		if (isDraining || isSameStart(this.drained, announcement)) {
			this.drained = announcement;
			this.drain();
		}

		this.applyLimits();
	}

	/**
	 * The backend server has said that it leaves.
	 * @param departure - which start of it.
	 */
	handleDeparture(departure: Departure): void {
		this.departed = departure;
		const {instance, startedAt} = departure;
		this.parts.logger.log(logEvents.backendDeparted, {instance, startedAt});
		if (isSameStart(this.announcement, departure)) {
			this.drain();
		}
	}

	/** How much longer than usual work takes as the backend server has just started. */
	private get warmUpSlowdown(): number {
		const left = this.announcement?.warmUpLeft ?? 0;
		return this.parts.clock.now() - this.announcedAt < left ? warmingSlowdown : 1;
	}

	/** The backend server refuses connections: it is gone, whatever it announced last. */
	markUnreachable(): void {
		if (this.state !== BackendState.Absent) {
			this.detach();
		}
	}

	/** The node stops; the backend server finishes its work. */
	drainNode(): void {
		this.isNodeDraining = true;
		this.drain();
	}

	// Announcements travel over a network: they can come late, twice, and out of order.
	private reasonToIgnore(announcement: Announcement): string | undefined {
		if (isSameStart(this.departed, announcement)) {
			return 'it has left';
		}

		const known = this.announcement;
		if (known?.startedAt === undefined || announcement.startedAt === undefined) {
			return undefined;
		}

		if (!isSameStart(known, announcement)) {
			const isEarlier = announcement.startedAt < known.startedAt;
			return isEarlier && this.state !== BackendState.Absent ? 'from an earlier start' : undefined;
		}

		const isOld = (announcement.sequence ?? 0) <= (known.sequence ?? 0);
		return isOld ? 'out of order' : undefined;
	}

	// What a restarted node hears first may be old: the backend server may have left since, and the
	// process that acknowledged it is gone. It counts once its health path tells the same or a later
	// announcement follows.
	private isConfirmed(announcement: Announcement): boolean {
		const {instance, startedAt, sequence} = announcement;
		const isTold = startedAt !== undefined && announcement.state === AnnouncedState.Serving;
		const found = this.announcement;
		const isFirst = this.parts.isRestart && found === undefined;
		const isOtherThanFound =
			found !== undefined && found.startedAt === undefined && found.instance !== instance;
		if (!isTold || !(isFirst || isOtherThanFound)) {
			return true;
		}

		const isLater = (sequence ?? 0) > (this.unconfirmed?.sequence ?? 0);
		return isSameStart(this.unconfirmed, announcement) && isLater;
	}

	private attach(announcement: Announcement, isAbsent: boolean): void {
		const {address, port, service, instance} = announcement;
		const policy = this.parts.revisions.inForce?.service(service);
		const connections = announcement.connections ?? policy?.connections ?? defaultConnections;
		const {executor, logger, clock} = this.parts;
		this.startedAt = clock.now();
		if (!isAbsent) {
			executor.detach();
		}

		executor.attach({endpoint: {address, port}, instance, connections}, service);
		const type = isAbsent ? BackendEvent.Announced : BackendEvent.Restarted;
		this.lifecycle.send({type});
		logger.log(logEvents.backendAnnounced, {service, instance});
		this.declare(MemberPhase.Serving);
	}

	private detach(): void {
		this.parts.executor.detach();
		this.lifecycle.send({type: BackendEvent.Silent});
		this.parts.logger.log(logEvents.backendGone, {instance: this.announcement?.instance});
		this.declare(this.isNodeDraining ? MemberPhase.Draining : MemberPhase.Joining);
	}

	private drain(): void {
		if (this.state === BackendState.Draining) {
			return;
		}

		this.parts.executor.drain();
		this.lifecycle.send({type: BackendEvent.Drained});
		this.parts.logger.log(logEvents.backendDraining, {instance: this.announcement?.instance});
		this.declare(MemberPhase.Draining);
	}

	private watch(): void {
		const limit = this.parts.announcementTimeout ?? defaultSilenceLimit;
		const isSilent = this.parts.clock.now() - this.announcedAt > limit;
		if (isSilent && this.state !== BackendState.Absent && !this.isNodeDraining) {
			this.detach();
		}

		this.applyLimits();
	}

	private applyLimits(): void {
		const {announcement} = this;
		if (!announcement || this.state === BackendState.Absent) {
			return;
		}

		const policy = this.parts.revisions.inForce?.service(announcement.service);
		const age = this.parts.clock.now() - this.startedAt;
		const warmUp = policy?.warmUp ?? defaultWarmUp;
		const connections = announcement.connections ?? policy?.connections ?? announcement.slots;
		const slots = Math.min(announcement.slots, connections);
		const isWarm = age >= warmUp;
		this.parts.executor.setWarmUp(this.warmUpSlowdown);
		this.parts.executor.setLimits(
			isWarm ? slots : warmingSlots(slots, age, warmUp),
			policy?.queue ?? defaultQueue,
		);
		if (isWarm && this.state === BackendState.Warming) {
			this.lifecycle.send({type: BackendEvent.Warmed});
		}
	}

	private declare(phase: MemberPhase): void {
		const service = this.announcement?.service ?? '';
		const slots = this.announcement?.slots ?? 0;
		this.parts.gossip.updateLocalMember({phase, service, slots});
		this.parts.gossip.broadcastUpdates(3);
	}
}

function isSameStart(a: Departure | undefined, b: Departure): boolean {
	const isUntold = a?.startedAt === undefined || b.startedAt === undefined;
	return a?.instance === b.instance && (isUntold || a.startedAt === b.startedAt);
}
