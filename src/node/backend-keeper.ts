import {createActor} from 'xstate';
import {BackendEvent, backendMachine, BackendState, warmingSlots} from '../backend/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionKeeper} from '../declaration/index.js';
import type {Executor} from '../executor/index.js';
import {MemberPhase, type Gossip} from '../membership/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {AnnouncedState, type Announcement} from './announcement.js';

/** What a backend keeper is made of. */
export interface BackendKeeperParts {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly executor: Executor;
	readonly gossip: Gossip;
	readonly keeper: RevisionKeeper;
}

const watchPeriod: Millis = 200;
/** A backend server that has not announced itself for so long is taken for gone. */
const silenceLimit: Millis = 4 * second;
const defaultQueue = 40;
const defaultWarmUp: Millis = 5 * second;

/** Follows the lifecycle of the backend server beside this node. */
export class BackendKeeper {
	private readonly lifecycle = createActor(backendMachine).start();
	private announcement: Announcement | undefined;
	private announcedAt: Millis = 0;
	private startedAt: Millis = 0;
	private isNodeDraining = false;

	constructor(private readonly parts: BackendKeeperParts) {
		parts.clock.repeat(watchPeriod, () => {
			this.watch();
		});
	}

	get state(): BackendState {
		return this.lifecycle.getSnapshot().value;
	}

	/** The last announcement of the backend server; undefined while there is none. */
	get current(): Announcement | undefined {
		return this.announcement;
	}

	/**
	 * The backend server has announced itself.
	 * @param announcement - what it says.
	 */
	announce(announcement: Announcement): void {
		if (this.isNodeDraining) {
			return;
		}

		const previous = this.announcement;
		this.announcement = announcement;
		this.announcedAt = this.parts.clock.now();
		const isAbsent = this.state === BackendState.Absent;
		if (isAbsent || previous?.instance !== announcement.instance) {
			this.attach(announcement, isAbsent);
		}

		if (announcement.state === AnnouncedState.Draining) {
			this.drain();
		}

		this.applyLimits();
	}

	/** The backend server refuses connections: it is gone, whatever it announced last. */
	noteUnreachable(): void {
		if (this.state !== BackendState.Absent) {
			this.detach();
		}
	}

	/** The node stops; the backend server finishes its work. */
	drainNode(): void {
		this.isNodeDraining = true;
		this.drain();
	}

	private attach(announcement: Announcement, isAbsent: boolean): void {
		const {address, port, service, connections, instance} = announcement;
		const {executor, logger, clock} = this.parts;
		this.startedAt = clock.now();
		if (!isAbsent) {
			executor.detach();
		}

		executor.attach({address, port}, service, connections);
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
		const isSilent = this.parts.clock.now() - this.announcedAt > silenceLimit;
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

		const policy = this.parts.keeper.inForce?.service(announcement.service);
		const age = this.parts.clock.now() - this.startedAt;
		const warmUp = policy?.warmUp ?? defaultWarmUp;
		const slots = Math.min(announcement.slots, announcement.connections);
		const isWarm = age >= warmUp;
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
		this.parts.gossip.declare({phase, service, slots});
		this.parts.gossip.pushNews(3);
	}
}
