import {Deadline, RefusalReason} from '../call/index.js';
import {handoverPrefix} from '../control/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import {
	AttemptEnd,
	Cancellation,
	createUnknown,
	type Attempt,
	type AttemptResult,
	type Call,
} from '../exchange/index.js';
import {OpenTarget, type LinkHub} from '../link/index.js';
import {isPresent, MemberPhase, RumorKind, type Gossip, type Rumor} from '../membership/index.js';
import {Precondition, type TableService} from '../store/index.js';
import {rendezvous} from '../util/index.js';
import type {KeyOwner} from './claim-writer.js';

/** What the homes of keys are reached through. */
export interface KeyOwnersDependencies {
	readonly self: KeyOwner;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	readonly revisions: RevisionTracker;
	/** Undefined for a node without a store. */
	readonly store: TableService | undefined;
}

const connectTries = 3;
const heirCandidates = 3;

/** Ends with which a copy never reached its home: they say nothing of earlier copies. */
const neverSent: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.LinkUnreachable,
	RefusalReason.DeadlinePassed,
	RefusalReason.TooManyCalls,
]);

/** Finds the homes of keys and their heirs, and hands over to an heir. */
export class KeyOwners {
	private readonly heirs = new Map<string, KeyOwner>();

	constructor(private readonly parts: KeyOwnersDependencies) {}

	/**
	 * @param rumor - tells who has taken over the keys of a node.
	 */
	handleRumor(rumor: Rumor): void {
		const [from, id, instance] = rumor.fields;
		const isHandover = rumor.kind === RumorKind.Handover;
		if (isHandover && from !== undefined && id !== undefined && instance !== undefined) {
			this.heirs.set(from, {id, instance});
		}
	}

	/**
	 * @param attempt - an attempt that another node has sent.
	 * @returns the call that it belongs to; undefined when it is not declared here.
	 */
	createCall(attempt: Attempt): Call | undefined {
		const {service: name, customer} = attempt.head;
		const index = this.parts.revisions.inForce;
		const service = index?.service(name);
		const policy = index?.call(name, customer);
		if (!index || !service || !policy) {
			return undefined;
		}

		const {head, deadline, objective, body} = attempt;
		// The call goes on when the other node is lost, as its caller will send it again.
		const cancellation = new Cancellation();
		const objectiveSpan = policy.deadline;
		return {
			head,
			policy,
			service,
			index,
			deadline,
			objective,
			objectiveDuration: objectiveSpan,
			body,
			cancellation,
		};
	}

	/**
	 * Sends a call to the home of its key.
	 * @param home - the home.
	 * @param call - the call.
	 * @returns how it ended.
	 */
	async send(home: KeyOwner, call: Call): Promise<AttemptResult> {
		const {gossip, hub} = this.parts;
		const member = gossip.directory.get(home.id);
		if (member && !isPresent(member)) {
			return createUnknown(RefusalReason.KeyHomeGone);
		}

		for (let tries = 0; tries < connectTries; tries++) {
			const session = await hub.connect(home.id); // eslint-disable-line no-await-in-loop
			if (session && session.link.peer?.instance !== home.instance) {
				return createUnknown(RefusalReason.KeyHomeGone);
			}

			if (session) {
				return this.runAt(home.id, call);
			}
		}

		return createUnknown(RefusalReason.KeyHomeUnreachable);
	}

	/**
	 * @param home - the home of a key.
	 * @returns who has taken over its keys; undefined when nobody is known to.
	 */
	async findSuccessor(home: KeyOwner): Promise<KeyOwner | undefined> {
		const {gossip, store} = this.parts;
		const known = this.heirs.get(home.instance);
		const member = gossip.directory.get(home.id);
		const isHere = member !== undefined && isPresent(member);
		if (known !== undefined || isHere || !store) {
			return known;
		}

		try {
			const row = await store.read(`${handoverPrefix}${home.instance}`);
			return row && (JSON.parse(row.value) as KeyOwner); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		} catch {
			return undefined;
		}
	}

	/**
	 * Hands remembered keys to one heir and tells all members who it is.
	 * @param records - the keys.
	 */
	async handOver(records: Uint8Array): Promise<void> {
		for (const id of this.heirCandidates()) {
			const session = await this.parts.hub.connect(id); // eslint-disable-line no-await-in-loop
			const instance = session?.link.peer?.instance;
			// One heir is enough; the next one is asked only when this one cannot be reached.
			// eslint-disable-next-line no-await-in-loop
			if (instance !== undefined && (await session?.handOver(records))) {
				await this.nameHeir({id, instance}); // eslint-disable-line no-await-in-loop
				return;
			}
		}
	}

	private async runAt(id: string, call: Call): Promise<AttemptResult> {
		const {head, deadline, objective, body, policy, cancellation} = call;
		const result = await this.parts.hub.runnerTo(id, OpenTarget.KeyOwner).run({
			id: {instance: this.parts.self.instance, sequence: 0},
			head,
			share: policy.share,
			deadline: new Deadline(deadline.at),
			objective,
			canRetryElsewhere: false,
			body,
			cancellation,
		});
		const isNeverSent = result.end === AttemptEnd.Refused && neverSent.has(result.reason);
		return isNeverSent ? createUnknown(RefusalReason.KeyHomeUnreachable) : result;
	}

	private heirCandidates(): string[] {
		const {gossip, self} = this.parts;
		const {zone, region} = gossip.localMember;
		const zoneMates: string[] = [];
		const others: string[] = [];
		for (const member of gossip.directory.all()) {
			const isLeaving = member.phase === MemberPhase.Draining;
			if (member.id !== self.id && isPresent(member) && !isLeaving) {
				const isMate = member.zone === zone && member.region === region;
				(isMate ? zoneMates : others).push(member.id);
			}
		}

		return [
			...rendezvous(self.id, zoneMates, heirCandidates),
			...rendezvous(self.id, others, heirCandidates),
		];
	}

	private async nameHeir(heir: KeyOwner): Promise<void> {
		const {gossip, self, store} = this.parts;
		const {instance} = self;
		const fields = [instance, heir.id, heir.instance];
		gossip.spreadRumor({id: `heir ${instance}`, kind: RumorKind.Handover, fields});
		gossip.flush();
		const key = `${handoverPrefix}${instance}`;
		const value = JSON.stringify(heir);
		try {
			await store?.write([{key, value, expect: Precondition.Any}]);
		} catch {
			// The rumor tells those who are here; the row is for those who come later.
		}
	}
}
