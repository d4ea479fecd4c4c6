import {minute, second, type Clock, type Millis} from '../clock/index.js';
import {
	Distance,
	distanceBetween,
	isPresent,
	type Gossip,
	type Member,
} from '../membership/index.js';
import {sample, type Random} from '../random/index.js';
import {parseEndpoint} from '../settings/index.js';
import {Precondition, type Row, type TableService, StoreUnavailableError} from '../store/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {pause, rendezvous} from '../util/index.js';
import {memberPrefix} from './store-keys.js';

export interface RosterDependencies {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly gossip: Gossip;
	readonly store: TableService;
	/** Service of the node's backend server; empty when it is not known in advance. */
	readonly service: string;
	/** Whether the whole deployment starts for the first time, so that no rows exist yet. */
	readonly isFirstStart: boolean;
}

const retryPeriod: Millis = 300;
/**
 * Jitter of the first read when a whole deployment starts; most nodes are contacted by others before
 * it ends.
 */
const firstReadJitter: Millis = 300;
/** Bound of the random delay before lost rows are written again. */
const restoreJitter: Millis = 300;
/** Rows that are written again in one transaction. */
const restoreBatchSize = 40;
/** Interval at which a node that has not joined contacts members of the rows again. */
const joinRetryPeriod: Millis = 250;
/** Bounds of the delay before a node that has not joined reads the rows again; doubles each time. */
const initialRereadDelay: Millis = second;
const maxRereadDelay: Millis = 30 * second;
/**
 * Number of members that a starting node sends a join to, by distance; gossip spreads its record to
 * the others.
 */
const joinCounts: Readonly<Record<Distance, number>> = {
	[Distance.SameZone]: 3,
	[Distance.SameRegion]: 2,
	[Distance.OtherRegion]: 1,
};
/**
 * Number of members that a starting node adds as unconfirmed and pings, by distance, so that it can send
 * calls to live ones before their member records arrive. Bounded because all nodes start at once after a
 * power failure, and each ping and its ack take processor time.
 */
const unconfirmedCounts: Readonly<Record<Distance, number>> = {
	[Distance.SameZone]: 16,
	[Distance.SameRegion]: 8,
	[Distance.OtherRegion]: 4,
};
/** Interval at which a node restores its own row and, as an auditor, looks for rows of absent nodes. */
const auditPeriod: Millis = 5 * minute;
/** Time that a member must have been absent before its row is removed. */
const removalDelay: Millis = 5 * minute;
/** Number of nodes that remove rows of absent nodes. */
const auditors = 2;

/**
 * Keeps a row per node of the deployment in the platform's store. A starting node reads the rows, adds many
 * of the members as unconfirmed and sends a join to some; gossip spreads the rest. Calls to the store are
 * paid for, so at the first start a node that other nodes have already contacted does not read, and a node
 * whose row is up to date does not write. When the store is restored from an earlier state, the readers of
 * each zone write the lost rows of their zone again.
 */
export class Roster {
	private readonly absentSince = new Map<string, Millis>();
	private readonly startedAt: Millis;
	private isStopped = false;

	constructor(private readonly deps: RosterDependencies) {
		this.startedAt = deps.clock.now();
	}

	/** Registers this node and joins the deployment; retries until gossip from another node arrives. */
	async enroll(): Promise<void> {
		const {clock, random, isFirstStart} = this.deps;
		if (isFirstStart) {
			await this.retryUntilStopped(async () => this.register(Precondition.Any));
			await pause(clock, firstReadJitter * random.next());
		}

		let rereadTime = initialRereadDelay;
		while (!this.isStopped && !this.isJoined()) {
			const rows = await this.retryUntilStopped(async () => this.readAndRegister()); // eslint-disable-line no-await-in-loop
			await this.joinRepeatedly(rows ?? new Map(), clock.now() + rereadTime); // eslint-disable-line no-await-in-loop
			rereadTime = Math.min(maxRereadDelay, rereadTime * 2);
		}
	}

	/** Enrolls this node and starts the periodic audit. */
	start(): void {
		void this.enroll();
		this.deps.clock.repeat(auditPeriod, () => {
			void this.audit();
		});
	}

	/**
	 * Writes the rows of the zone's present members that the store has lost by a restore, the own one
	 * included. Members that do not read the store need not notice the restore themselves.
	 */
	async restoreRows(): Promise<void> {
		const {clock, random} = this.deps;
		// Spread, so that of the readers of a zone the second one finds the rows of the first.
		await pause(clock, restoreJitter * random.next());
		await this.retryUntilStopped(async () => this.writeMissing());
	}

	/** Stops enrolling. */
	stop(): void {
		this.isStopped = true;
	}

	/**
	 * Restores the node's own row; an auditor also removes the rows of nodes that have been absent for
	 * long.
	 */
	async audit(): Promise<void> {
		try {
			await this.register(Precondition.Absent);
			if (this.isAuditor()) {
				await this.removeAbsent();
			}
		} catch (err) {
			this.logFailure(err);
		}
	}

	private isJoined(): boolean {
		return this.deps.gossip.lastReceivedAt > this.startedAt;
	}

	private async retryUntilStopped<T>(attempt: () => Promise<T>): Promise<T | undefined> {
		while (!this.isStopped) {
			try {
				return await attempt(); // eslint-disable-line no-await-in-loop
			} catch (err) {
				this.logFailure(err);
				await pause(this.deps.clock, retryPeriod); // eslint-disable-line no-await-in-loop
			}
		}

		return undefined;
	}

	// Two new nodes that both read before either has written find each other at the next read.
	private async readAndRegister(): Promise<Map<string, Row>> {
		const {gossip, logger} = this.deps;
		const rows = await this.read();
		logger.log(logEvents.rosterRead, {members: rows.size});
		this.addUnconfirmed(rows);
		if (rows.get(gossip.localMember.id)?.value !== this.ownValue()) {
			void this.retryUntilStopped(async () => this.register(Precondition.Any));
		}

		return rows;
	}

	// Joins are repeated, as members that start at the same time may not listen yet.
	private async joinRepeatedly(rows: ReadonlyMap<string, Row>, until: Millis): Promise<void> {
		const {clock} = this.deps;
		do {
			this.sendJoins(rows);
			await pause(clock, joinRetryPeriod); // eslint-disable-line no-await-in-loop
		} while (!this.isStopped && !this.isJoined() && clock.now() < until);
	}

	private sendJoins(rows: ReadonlyMap<string, Row>): void {
		const {gossip} = this.deps;
		for (const id of this.sampleByDistance(rows, joinCounts)) {
			gossip.join(id);
		}
	}

	private addUnconfirmed(rows: ReadonlyMap<string, Row>): void {
		const {gossip} = this.deps;
		for (const id of this.sampleByDistance(rows, unconfirmedCounts)) {
			const place = parsePlace(rows.get(id)!.value);
			if (place) {
				gossip.addUnconfirmed(id, place);
			}
		}
	}

	private sampleByDistance(
		rows: ReadonlyMap<string, Row>,
		counts: Readonly<Record<Distance, number>>,
	): string[] {
		const {gossip, random} = this.deps;
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

	private logFailure(err: unknown): void {
		const {logger} = this.deps;
		if (err instanceof StoreUnavailableError) {
			logger.log(logEvents.rosterUnavailable, {error: String(err)});
		} else {
			logger.log(logEvents.unexpectedError, {error: String(err)});
		}
	}

	private isAuditor(): boolean {
		const {directory, localMember: account} = this.deps.gossip;
		const ids = [...directory.all()].filter((member) => isPresent(member)).map(({id}) => id);
		return rendezvous('roster', ids, auditors).includes(account.id);
	}

	private async writeMissing(): Promise<void> {
		const {gossip, store, logger} = this.deps;
		const rows = await this.read();
		const missing = [...gossip.directory.all()].filter(
			(member) =>
				isPresent(member) &&
				distanceBetween(gossip.localMember, member) === Distance.SameZone &&
				!rows.has(member.id),
		);
		if (missing.length === 0) {
			return;
		}

		for (let i = 0; i < missing.length; i += restoreBatchSize) {
			const operations = missing.slice(i, i + restoreBatchSize).map((member) => ({
				key: `${memberPrefix}${member.id}`,
				value: this.valueOf(member),
				expect: Precondition.Absent as const,
			}));
			// Sequential, to leave the store's rate of writes to others.
			await store.write(operations); // eslint-disable-line no-await-in-loop
		}

		logger.log(logEvents.rosterRestored, {members: missing.length});
	}

	private async register(expect: Precondition.Any | Precondition.Absent): Promise<void> {
		const {id} = this.deps.gossip.localMember;
		const value = this.ownValue();
		await this.deps.store.write([{key: `${memberPrefix}${id}`, value, expect}]);
	}

	private ownValue(): string {
		return this.valueOf(this.deps.gossip.localMember);
	}

	private valueOf({id, region, zone, service}: Member): string {
		const isOwn = id === this.deps.gossip.localMember.id;
		return JSON.stringify({region, zone, service: isOwn ? this.deps.service : service});
	}

	private async read(): Promise<Map<string, Row>> {
		const rows = await this.deps.store.list(memberPrefix);
		const byId = rows.map((row) => [row.key.slice(memberPrefix.length), row] as const);
		// Rows of other writers that name no address would take the places of members in the samples that are contacted.
		return new Map(byId.filter(([id]) => parseEndpoint(id) !== undefined));
	}

	private async removeAbsent(): Promise<void> {
		const {clock, gossip, store, logger} = this.deps;
		const now = clock.now();
		const rows = await this.read();
		for (const [id, row] of rows) {
			const member = gossip.directory.get(id);
			if (member && isPresent(member)) {
				this.absentSince.delete(id);
				continue;
			}

			const since = this.absentSince.get(id) ?? now;
			this.absentSince.set(id, since);
			if (now - since >= removalDelay) {
				logger.log(logEvents.rosterDropped, {member: id, goneFor: Math.round(now - since)});
				const {key, etag} = row;
				// Sequential, as few nodes are absent at a time.
				// eslint-disable-next-line no-await-in-loop
				await store.write([{key, value: undefined, expect: Precondition.Etag, etag}]);
				this.absentSince.delete(id);
			}
		}
	}
}

// The id of a malformed row is still used, as a member in another region.
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
