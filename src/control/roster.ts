import {minute, type Clock, type Millis} from '../clock/index.js';
import {isPresent, type Gossip} from '../membership/index.js';
import {Expect, type Row, type TableService, StoreUnavailableError} from '../store/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {pause, rendezvous} from '../util/index.js';
import {memberPrefix} from './store-keys.js';

/** What a roster is made of. */
export interface RosterParts {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly gossip: Gossip;
	readonly store: TableService;
}

const retryPeriod: Millis = 300;
/** How often a node makes sure that its row is there, and looks for rows of nodes that are gone. */
const auditPeriod: Millis = 5 * minute;
/** How long a member must have been gone before its row is dropped. */
const goneTime: Millis = 5 * minute;
/** Nodes that look for rows of nodes that are gone. */
const auditors = 2;

/**
 * The nodes of the deployment as rows of the platform's store: a newcomer writes its row and then
 * reads the others, so that of two newcomers at least one finds the other. Gossip does the rest.
 */
export class Roster {
	private readonly goneSince = new Map<string, Millis>();
	private isStopped = false;

	constructor(private readonly parts: RosterParts) {}

	/** Registers this node and joins the others; goes on until the store has answered. */
	async enroll(): Promise<void> {
		const {clock, gossip, logger} = this.parts;
		while (!this.isStopped) {
			try {
				await this.register(Expect.Any); // eslint-disable-line no-await-in-loop
				const rows = await this.read(); // eslint-disable-line no-await-in-loop
				for (const id of rows.keys()) {
					if (id !== gossip.account.id) {
						gossip.join(id);
					}
				}

				logger.log(logEvents.rosterRead, {members: rows.size});
				return;
			} catch (err) {
				this.noteFailure(err);
				await pause(clock, retryPeriod); // eslint-disable-line no-await-in-loop
			}
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
			await this.register(Expect.Absent);
			if (this.isAuditor()) {
				await this.dropGone();
			}
		} catch (err) {
			this.noteFailure(err);
		}
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
		const {directory, account} = this.parts.gossip;
		const ids = [...directory.all()].filter((member) => isPresent(member)).map(({id}) => id);
		return rendezvous('roster', ids, auditors).includes(account.id);
	}

	private async register(expect: Expect.Any | Expect.Absent): Promise<void> {
		const {id, region, zone} = this.parts.gossip.account;
		const value = JSON.stringify({region, zone});
		await this.parts.store.write([{key: `${memberPrefix}${id}`, value, expect}]);
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
				await store.write([{key, value: undefined, expect: Expect.Etag, etag}]);
				this.goneSince.delete(id);
			}
		}
	}
}
