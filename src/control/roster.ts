import {minute, second, type Clock, type Millis} from '../clock/index.js';
import {
	Distance,
	distanceBetween,
	isPresent,
	type Gossip,
	type Member,
} from '../membership/index.js';
import {sample, type Random} from '../random/index.js';
import {Precondition, type Row, type TableService, StoreUnavailableError} from '../store/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {pause, rendezvous} from '../util/index.js';
import {memberPrefix} from './store-keys.js';

/** What a roster is made of. */
export interface RosterDependencies {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly gossip: Gossip;
	readonly store: TableService;
	/** Service of the own backend server; empty where it is not known beforehand. */
	readonly service: string;
	/** Whether the whole deployment starts for the first time, so that no row is there yet. */
	readonly isFirstStart: boolean;
}

const retryPeriod: Millis = 300;
/** Over so long the nodes of a deployment that starts spread their reading: most are found before. */
const firstReadSpread: Millis = 300;
/** How often a node that has found nobody knocks again at those that it has read of. */
const knockPeriod: Millis = 250;
/** Bounds of the time until a node that has found nobody reads anew; it doubles. */
const firstRereadTime: Millis = second;
const longestRereadTime: Millis = 30 * second;
/** How many members a node that starts introduces itself to, by distance; gossip brings the others. */
const joined: Readonly<Record<Distance, number>> = {
	[Distance.SameZone]: 3,
	[Distance.SameRegion]: 2,
	[Distance.OtherRegion]: 1,
};
/**
 * How many it greets, so that calls can go to those that live before their accounts are here. All nodes
 * greet at once when the power is back, and each greeting and its answer take processor time.
 */
const presumed: Readonly<Record<Distance, number>> = {
	[Distance.SameZone]: 16,
	[Distance.SameRegion]: 8,
	[Distance.OtherRegion]: 4,
};
/** How often a node makes sure that its row is there, and looks for rows of nodes that are gone. */
const auditPeriod: Millis = 5 * minute;
/** How long a member must have been gone before its row is dropped. */
const goneTime: Millis = 5 * minute;
/** Nodes that look for rows of nodes that are gone. */
const auditors = 2;

/**
 * The nodes of the deployment as rows of the platform's store. A node that starts reads them, greets
 * many of their members, and introduces itself to some; gossip does the rest. Each call to the store has
 * its price, so a node that was found by others first reads nothing, and one whose row is there writes
 * nothing.
 */
export class Roster {
	private readonly goneSince = new Map<string, Millis>();
	private readonly startedAt: Millis;
	private isStopped = false;

	constructor(private readonly parts: RosterDependencies) {
		this.startedAt = parts.clock.now();
	}

	/** Registers this node and joins the others; goes on until one is found. */
	async enroll(): Promise<void> {
		const {clock, random, isFirstStart} = this.parts;
		if (isFirstStart) {
			await this.persist(async () => this.register(Precondition.Any));
			await pause(clock, firstReadSpread * random.next());
		}

		let rereadTime = firstRereadTime;
		while (!this.isStopped && !this.isJoined()) {
			const rows = await this.persist(async () => this.readAndRegister()); // eslint-disable-line no-await-in-loop
			await this.knock(rows ?? new Map(), clock.now() + rereadTime); // eslint-disable-line no-await-in-loop
			rereadTime = Math.min(longestRereadTime, rereadTime * 2);
		}
	}

	/** Starts keeping the rows true. */
	start(): void {
		void this.enroll();
		this.parts.clock.repeat(auditPeriod, () => {
			void this.audit();
		});
	}

	/** Stops. */
	stop(): void {
		this.isStopped = true;
	}

	/** Restores the own row and drops the rows of nodes that have been gone for long. */
	async audit(): Promise<void> {
		try {
			await this.register(Precondition.Absent);
			if (this.isAuditor()) {
				await this.dropGone();
			}
		} catch (err) {
			this.noteFailure(err);
		}
	}

	private isJoined(): boolean {
		return this.parts.gossip.lastReceivedAt > this.startedAt;
	}

	private async persist<T>(attempt: () => Promise<T>): Promise<T | undefined> {
		while (!this.isStopped) {
			try {
				return await attempt(); // eslint-disable-line no-await-in-loop
			} catch (err) {
				this.noteFailure(err);
				await pause(this.parts.clock, retryPeriod); // eslint-disable-line no-await-in-loop
			}
		}

		return undefined;
	}

	// Two newcomers that read before either has written find each other when they read anew.
	private async readAndRegister(): Promise<Map<string, Row>> {
		const {gossip, logger} = this.parts;
		const rows = await this.read();
		logger.log(logEvents.rosterRead, {members: rows.size});
		this.presume(rows);
		if (rows.get(gossip.localMember.id)?.value !== this.ownValue()) {
			void this.persist(async () => this.register(Precondition.Any));
		}

		return rows;
	}

	// Members that start at the same time may not listen yet.
	private async knock(rows: ReadonlyMap<string, Row>, until: Millis): Promise<void> {
		const {clock} = this.parts;
		do {
			this.introduce(rows);
			await pause(clock, knockPeriod); // eslint-disable-line no-await-in-loop
		} while (!this.isStopped && !this.isJoined() && clock.now() < until);
	}

	private introduce(rows: ReadonlyMap<string, Row>): void {
		const {gossip} = this.parts;
		for (const id of this.draw(rows, joined)) {
			gossip.join(id);
		}
	}

	private presume(rows: ReadonlyMap<string, Row>): void {
		const {gossip} = this.parts;
		for (const id of this.draw(rows, presumed)) {
			const place = parsePlace(rows.get(id)!.value);
			if (place) {
				gossip.addUnconfirmed(id, place);
			}
		}
	}

	private draw(
		rows: ReadonlyMap<string, Row>,
		counts: Readonly<Record<Distance, number>>,
	): string[] {
		const {gossip, random} = this.parts;
		const byDistance = new Map<Distance, string[]>();
		for (const [id, row] of rows) {
			if (id !== gossip.localMember.id) {
				const place = parsePlace(row.value);
				const distance = place ? distanceBetween(gossip.localMember, place) : Distance.OtherRegion;
				byDistance.set(distance, [...(byDistance.get(distance) ?? []), id]);
			}
		}

		return [...byDistance].flatMap(([distance, ids]) => sample(ids, counts[distance], random));
	}

	private noteFailure(err: unknown): void {
		const {logger} = this.parts;
		if (err instanceof StoreUnavailableError) {
			logger.log(logEvents.rosterUnavailable, {error: String(err)});
		} else {
			logger.log(logEvents.unexpectedError, {error: String(err)});
		}
	}

	private isAuditor(): boolean {
		const {directory, localMember: account} = this.parts.gossip;
		const ids = [...directory.all()].filter((member) => isPresent(member)).map(({id}) => id);
		return rendezvous('roster', ids, auditors).includes(account.id);
	}

	private async register(expect: Precondition.Any | Precondition.Absent): Promise<void> {
		const {id} = this.parts.gossip.localMember;
		const value = this.ownValue();
		await this.parts.store.write([{key: `${memberPrefix}${id}`, value, expect}]);
	}

	private ownValue(): string {
		const {region, zone} = this.parts.gossip.localMember;
		return JSON.stringify({region, zone, service: this.parts.service});
	}

	private async read(): Promise<Map<string, Row>> {
		const rows = await this.parts.store.list(memberPrefix);
		return new Map(rows.map((row) => [row.key.slice(memberPrefix.length), row]));
	}

	private async dropGone(): Promise<void> {
		const {clock, gossip, store, logger} = this.parts;
		const now = clock.now();
		const rows = await this.read();
		for (const [id, row] of rows) {
			const member = gossip.directory.get(id);
			if (member && isPresent(member)) {
				this.goneSince.delete(id);
				continue;
			}

			const since = this.goneSince.get(id) ?? now;
			this.goneSince.set(id, since);
			if (now - since >= goneTime) {
				logger.log(logEvents.rosterDropped, {member: id, goneFor: Math.round(now - since)});
				const {key, etag} = row;
				// One after the other, as few are gone at a time.
				// eslint-disable-next-line no-await-in-loop
				await store.write([{key, value: undefined, expect: Precondition.Etag, etag}]);
				this.goneSince.delete(id);
			}
		}
	}
}

// A row that another writer has spoiled still names a member: it counts as one far away.
function parsePlace(text: string): Pick<Member, 'region' | 'zone' | 'service'> | undefined {
	let fields: Readonly<Record<string, unknown>>;
	try {
		const parsed: unknown = JSON.parse(text);
		fields = typeof parsed === 'object' && parsed !== null ? {...parsed} : {};
	} catch {
		return undefined;
	}

	const {region, zone, service} = fields;
	const isPlace =
		typeof region === 'string' && typeof zone === 'string' && typeof service === 'string';
	return isPlace ? {region, zone, service} : undefined;
}
