import {createConnection} from 'node:net';
import {CrashGuard, type Hold} from '../call/index.js';
import {type Clock, type Millis} from '../clock/index.js';
import type {CrashWatch} from '../executor/index.js';
import {RumorKind, type Gossip, type Rumor} from '../membership/index.js';
import type {Endpoint} from '../settings/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';

/** Collaborators of {@link CrashWatcher}. */
export interface CrashWatcherDependencies {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly gossip: Gossip;
	/** Incarnation of this node. */
	readonly instance: string;
	/** @returns the address and port of the backend server; undefined if none is known. */
	endpoint(): Endpoint | undefined;
	/** Called when the backend server accepts no connections. */
	markUnreachable(): void;
}

/** Broken calls within this time are attributed to the same crash. */
const crashWindow: Millis = 200;
const connectTimeout: Millis = 200;
/** Maximum number of fingerprints in a crash rumor. */
const maxReportedFingerprints = 40;
/** Number of members to which a crash rumor is pushed at once. */
const pushFanOut = 4;

/** Detects crashes of the backend server and gossips the fingerprints of the calls in flight. */
export class CrashWatcher implements CrashWatch {
	private readonly guard = new CrashGuard();
	private crashCount = 0;
	private lastCrashAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly deps: CrashWatcherDependencies) {}

	isHeld(fingerprint: string): boolean {
		return this.guard.isHeld(fingerprint, this.deps.clock.now());
	}

	recordAnswered(fingerprint: string): void {
		this.guard.recordAnswered(fingerprint, this.deps.clock.now());
	}

	recordBroken(fingerprints: readonly string[]): void {
		const now = this.deps.clock.now();
		const endpoint = this.deps.endpoint();
		if (now - this.lastCrashAt < crashWindow || !endpoint) {
			return;
		}

		this.lastCrashAt = now;
		const suspects = this.guard.suspects(fingerprints, now);
		this.confirm(endpoint, () => {
			this.reportCrash(suspects);
		});
	}

	/**
	 * Handles the rumor of a crash or of a lifted hold.
	 * @param rumor - the rumor; other kinds are ignored.
	 */
	handleRumor(rumor: Rumor): void {
		if (rumor.kind === RumorKind.Crash) {
			const report = {crashId: rumor.id, fingerprints: rumor.fields};
			for (const fingerprint of this.guard.recordCrash(report, this.deps.clock.now())) {
				this.deps.logger.log(logEvents.requestHeld, {fingerprint});
			}
		} else if (rumor.kind === RumorKind.HoldLifted) {
			for (const fingerprint of rumor.fields) {
				this.guard.lift(fingerprint);
				this.deps.logger.log(logEvents.holdLifted, {fingerprint});
			}
		}
	}

	/** @returns the fingerprints that are held back. */
	holds(): Hold[] {
		return this.guard.list(this.deps.clock.now());
	}

	/**
	 * Lifts the hold on a request on every node.
	 * @param fingerprint - fingerprint of the request.
	 */
	lift(fingerprint: string): void {
		const id = `lift ${this.deps.instance} ${this.deps.clock.now()}`;
		this.deps.gossip.spreadRumor({id, kind: RumorKind.HoldLifted, fields: [fingerprint]});
	}

	// A broken connection alone is no crash; it counts as one if a new connection fails as well.
	private confirm(endpoint: Endpoint, onConfirmed: () => void): void {
		const {address, port} = endpoint;
		const socket = createConnection({host: address, port, timeout: connectTimeout});
		socket.once('connect', () => {
			socket.destroy();
		});
		socket.once('timeout', () => {
			socket.destroy();
		});
		socket.once('error', () => {
			onConfirmed();
		});
	}

	private reportCrash(suspects: readonly string[]): void {
		this.crashCount += 1;
		this.deps.logger.log(logEvents.backendCrashed, {suspects: suspects.length});
		this.deps.markUnreachable();
		const id = `crash ${this.deps.instance} ${this.crashCount}`;
		const fields = suspects.slice(0, maxReportedFingerprints);
		this.deps.gossip.spreadRumor({id, kind: RumorKind.Crash, fields});
		this.deps.gossip.broadcastUpdates(pushFanOut);
	}
}
