import {Coldness, type ColdLimit} from '../backend/index.js';
import {second, type Clock, type Millis, type Undo} from '../clock/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';

/** What told the node that its backend server is cold or warm. */
export enum ColdSource {
	/** Another backend server was attached. */
	Attached = 'attached',
	Heartbeat = 'heartbeat',
	HealthPath = 'health-path',
	/** The reported cold time has passed. */
	Elapsed = 'elapsed',
	/** The node cannot know, as after an evacuation. */
	Assumed = 'assumed',
	/** The declared rate has changed. */
	Configuration = 'configuration',
}

/** Collaborators of {@link ColdMonitor}. */
export interface ColdMonitorDependencies {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly limit: ColdLimit;
	/** Called when the limit has changed, so that other nodes are told. */
	onLimitChanged(): void;
	/** Asks the health path of the backend server how long it is still cold. */
	askHealthPath(): void;
}

/** Value of the metric while the backend server is not limited. */
const noLimit = -1;
/**
 * Slowdown from which a backend server that is thought to be warm is asked whether it is cold. A cold one
 * reports 2 in its answers, up to a heartbeat period before its next heartbeat.
 */
const suspiciousSlowdown = 1.5;
/** Interval at which the health path is asked while nothing is known, as heartbeats can be lost. */
const askPeriod: Millis = second;

/** Collects what is known about the coldness of the backend server, and tells when its limit changes. */
export class ColdMonitor {
	/** What was last logged about the attached backend server; undefined if nothing was. */
	private reported: Coldness | undefined;
	private reportedMax: number | undefined;
	private undoEnd: Undo | undefined;
	private instance = '';
	private askedAt: Millis = Number.NEGATIVE_INFINITY;

	constructor(private readonly deps: ColdMonitorDependencies) {
		deps.metrics.coldLimit.set(noLimit);
	}

	/**
	 * Forgets all reports, as another backend server is attached.
	 * @param instance - its instance.
	 * @param coldRate - requests per second that it tolerates while it is cold; undefined for any number.
	 * @param left - remaining cold time that it announces, in ms; undefined if it does not say.
	 */
	attach(instance: string, coldRate: number | undefined, left: Millis | undefined): void {
		const {limit, clock} = this.deps;
		this.instance = instance;
		this.reported = undefined;
		limit.reset();
		limit.setRate(coldRate);
		if (left !== undefined) {
			limit.record(left, clock.now());
		}

		this.update(ColdSource.Attached);
	}

	/**
	 * Records the remaining cold time of a heartbeat.
	 * @param left - remaining cold time, in ms; 0 if the backend server is not cold.
	 */
	recordHeartbeat(left: Millis): void {
		this.deps.limit.record(left, this.deps.clock.now());
		this.update(ColdSource.Heartbeat);
	}

	/**
	 * Records the remaining cold time of an answer.
	 * @param left - remaining cold time, in ms; 0 if the backend server is not cold.
	 * @param sentAt - monotonic time in ms at which the request was sent.
	 */
	recordAnswer(left: Millis, sentAt: Millis): void {
		this.deps.limit.record(left, sentAt);
		this.update(ColdSource.HealthPath);
	}

	/** Treats the backend server as cold until a heartbeat or the health path tells otherwise. */
	assume(): void {
		const {limit} = this.deps;
		limit.invalidate();
		this.update(ColdSource.Assumed);
		if (limit.hasRate) {
			this.ask();
		}
	}

	/**
	 * Applies the declared rate, and asks the health path again if it is not known whether the backend server
	 * is cold; called every few hundred ms.
	 * @param coldRate - requests per second that a cold backend server of the service tolerates; undefined
	 * for any number.
	 */
	setRate(coldRate: number | undefined): void {
		this.deps.limit.setRate(coldRate);
		this.update(ColdSource.Configuration);
		const {limit, clock} = this.deps;
		const isUnknown = limit.hasRate && limit.coldness === Coldness.Unknown;
		if (isUnknown && clock.now() - this.askedAt >= askPeriod) {
			this.ask();
		}
	}

	/**
	 * Asks the health path when a backend server that is thought to be warm has become slower.
	 * @param slowdown - factor by which calls now take longer than usual.
	 */
	checkSpeed(slowdown: number): void {
		const {limit} = this.deps;
		const isSuspicious = limit.coldness === Coldness.Warm && slowdown >= suspiciousSlowdown;
		if (limit.hasRate && isSuspicious) {
			this.ask();
		}
	}

	private ask(): void {
		this.askedAt = this.deps.clock.now();
		this.deps.askHealthPath();
	}

	private update(source: ColdSource): void {
		const {limit} = this.deps;
		this.scheduleEnd();
		if (limit.coldness === this.reported && limit.max === this.reportedMax) {
			return;
		}

		const hadRate = this.reportedMax !== undefined;
		this.reported = limit.coldness;
		this.reportedMax = limit.max;
		this.deps.metrics.coldLimit.set(limit.max ?? noLimit);
		if (hadRate || limit.max !== undefined) {
			this.log(source);
			this.deps.onLimitChanged();
		}
	}

	private log(source: ColdSource): void {
		const {limit, logger} = this.deps;
		const {instance} = this;
		const {max, timeLeft, coldness} = limit;
		if (max === undefined) {
			logger.log(logEvents.backendWarm, {instance, source});
		} else if (coldness === Coldness.Unknown) {
			logger.log(logEvents.backendAssumedCold, {instance, source, limit: max});
		} else {
			logger.log(logEvents.backendCold, {instance, source, limit: max, left: Math.round(timeLeft)});
		}
	}

	private scheduleEnd(): void {
		const {limit, clock} = this.deps;
		this.undoEnd?.();
		this.undoEnd =
			limit.coldness === Coldness.Cold
				? clock.after(limit.timeLeft, () => {
						this.undoEnd = undefined;
						this.update(ColdSource.Elapsed);
					})
				: undefined;
	}
}
