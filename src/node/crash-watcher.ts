import {createConnection} from 'node:net';
import {CrashGuard, type Hold} from '../call/index.js';
import {type Clock, type Millis} from '../clock/index.js';
import type {CrashWatch} from '../executor/index.js';
import {RumorKind, type Gossip, type Rumor} from '../membership/index.js';
import type {Endpoint} from '../settings/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';

/** What a crash watcher is made of. */
export interface CrashWatcherDependencies {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly gossip: Gossip;
	/** Incarnation of this node. */
	readonly instance: string;
	/** @returns where the backend server listens. */
	endpoint(): Endpoint | undefined;
	/** The backend server takes no connections. */
	markUnreachable(): void;
}

/** Calls that break within this time belong to one crash. */
const crashWindow: Millis = 200;
const connectTimeout: Millis = 200;
const maxReported = 40;
const pushFanOut = 4;

/** Finds out about crashes of the backend server and tells all nodes what was in flight. */
export class CrashWatcher implements CrashWatch {
	private readonly guard = new CrashGuard();
	private crashes = 0;
	private lastCrash = Number.NEGATIVE_INFINITY;

	constructor(private readonly parts: CrashWatcherDependencies) {}

	isHeld(fingerprint: string): boolean {
		return this.guard.isHeld(fingerprint, this.parts.clock.now());
	}

	recordAnswered(fingerprint: string): void {
		this.guard.recordAnswered(fingerprint, this.parts.clock.now());
	}

	recordBroken(fingerprints: readonly string[]): void {
		const now = this.parts.clock.now();
		const endpoint = this.parts.endpoint();
		if (now - this.lastCrash < crashWindow || !endpoint) {
			return;
		}

		this.lastCrash = now;
		const suspects = this.guard.suspects(fingerprints, now);
		this.confirm(endpoint, () => {
			this.tell(suspects);
		});
	}

	/**
	 * Hears of a crash or of a lifted hold.
	 * @param rumor - the news.
	 */
	handleRumor(rumor: Rumor): void {
		if (rumor.kind === RumorKind.Crash) {
			const report = {crashId: rumor.id, fingerprints: rumor.fields};
			for (const fingerprint of this.guard.recordCrash(report, this.parts.clock.now())) {
				this.parts.logger.log(logEvents.requestHeld, {fingerprint});
			}
		} else if (rumor.kind === RumorKind.HoldLifted) {
			for (const fingerprint of rumor.fields) {
				this.guard.lift(fingerprint);
				this.parts.logger.log(logEvents.holdLifted, {fingerprint});
			}
		}
	}

	/** @returns what is held back. */
	holds(): Hold[] {
		return this.guard.list(this.parts.clock.now());
	}

	/**
	 * Lets a request run again, on every node.
	 * @param fingerprint - the request.
	 */
	lift(fingerprint: string): void {
		const id = `lift ${this.parts.instance} ${this.parts.clock.now()}`;
		this.parts.gossip.spreadRumor({id, kind: RumorKind.HoldLifted, fields: [fingerprint]});
	}

	// One broken connection is no crash; a backend server that takes no connection is.
	private confirm(endpoint: Endpoint, confirmed: () => void): void {
		const {address, port} = endpoint;
		const socket = createConnection({host: address, port, timeout: connectTimeout});
		socket.once('connect', () => {
			socket.destroy();
		});
		socket.once('timeout', () => {
			socket.destroy();
		});
		socket.once('error', () => {
			confirmed();
		});
	}

	private tell(suspects: readonly string[]): void {
		this.crashes += 1;
		this.parts.logger.log(logEvents.backendCrashed, {suspects: suspects.length});
		this.parts.markUnreachable();
		const id = `crash ${this.parts.instance} ${this.crashes}`;
		const fields = suspects.slice(0, maxReported);
		this.parts.gossip.spreadRumor({id, kind: RumorKind.Crash, fields});
		this.parts.gossip.broadcastUpdates(pushFanOut);
	}
}
