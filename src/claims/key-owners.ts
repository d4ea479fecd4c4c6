import {Deadline, isRegionAllowed, RefusalReason} from '../call/index.js';
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

export interface KeyOwnersDependencies {
	readonly self: KeyOwner;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	readonly revisions: RevisionTracker;
	/** Undefined for a node without a store. */
	readonly store: TableService | undefined;
}

const maxConnectAttempts = 3;
const candidatesPerGroup = 3;

/**
 * Refusals before the call reached the owner. They do not show whether an earlier
 * request with the same key has run.
 */
const notDelivered: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.LinkUnreachable,
	RefusalReason.DeadlinePassed,
	RefusalReason.TooManyCalls,
]);

/** Sends calls to the owners of their keys, and hands over keys to a successor. */
export class KeyOwners {
	private readonly successors = new Map<string, KeyOwner>();

	constructor(private readonly deps: KeyOwnersDependencies) {}

	/**
	 * Records the successor that a handover rumor names; ignores other rumors.
	 * @param rumor - a rumor from another node.
	 */
	handleRumor(rumor: Rumor): void {
		const [from, id, instance] = rumor.fields;
		const isHandover = rumor.kind === RumorKind.Handover;
		if (isHandover && from !== undefined && id !== undefined && instance !== undefined) {
			this.successors.set(from, {id, instance});
		}
	}

	/**
	 * @param attempt - an attempt that another node has sent.
	 * @returns the call of the attempt; undefined if the configuration in force does not declare its
	 * service and customer.
	 */
	createCall(attempt: Attempt): Call | undefined {
		const {service: name, customer} = attempt.head;
		const index = this.deps.revisions.inForce;
		const service = index?.service(name);
		const policy = index?.call(name, customer);
		if (!index || !service || !policy) {
			return undefined;
		}

		const {head, deadline, objective, body} = attempt;
		// The call continues when the other node is lost, since the caller is expected to send it again.
		const cancellation = new Cancellation();
		const objectiveDuration = policy.deadline;
		return {
			head,
			policy,
			service,
			index,
			deadline,
			objective,
			objectiveDuration,
			body,
			cancellation,
		};
	}

	/**
	 * Sends a call to the owner of its key.
	 * @param owner - the owner.
	 * @param call - the call.
	 * @returns the result at the owner.
	 */
	async send(owner: KeyOwner, call: Call): Promise<AttemptResult> {
		const {gossip, hub} = this.deps;
		const member = gossip.directory.get(owner.id);
		if (member && !isPresent(member)) {
			return createUnknown(RefusalReason.KeyHomeGone);
		}

		for (let attempts = 0; attempts < maxConnectAttempts; attempts++) {
			const session = await hub.connect(owner.id); // eslint-disable-line no-await-in-loop
			if (session && session.link.peer?.instance !== owner.instance) {
				return createUnknown(RefusalReason.KeyHomeGone);
			}

			if (session) {
				// An earlier copy may have run, so that this one is not reported as "not run".
				const region = session.link.peer?.region ?? '';
				return isRegionAllowed(region, call.head.allowedRegions)
					? this.runAtOwner(owner.id, call)
					: createUnknown(RefusalReason.KeyNotChecked);
			}
		}

		return createUnknown(RefusalReason.KeyHomeUnreachable);
	}

	/**
	 * @param owner - the owner of a key.
	 * @returns the node that has taken over its keys; undefined if no successor is known.
	 */
	async findSuccessor(owner: KeyOwner): Promise<KeyOwner | undefined> {
		const {gossip, store} = this.deps;
		const known = this.successors.get(owner.instance);
		const member = gossip.directory.get(owner.id);
		const isMemberPresent = member !== undefined && isPresent(member);
		if (known !== undefined || isMemberPresent || !store) {
			return known;
		}

		try {
			const row = await store.read(`${handoverPrefix}${owner.instance}`);
			return row && (JSON.parse(row.value) as KeyOwner); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		} catch {
			return undefined;
		}
	}

	/**
	 * Hands over the key records to a successor and announces it to all members.
	 * @param records - the encoded key records.
	 */
	async handOver(records: Uint8Array): Promise<void> {
		for (const id of this.successorCandidates()) {
			const session = await this.deps.hub.connect(id); // eslint-disable-line no-await-in-loop
			const instance = session?.link.peer?.instance;
			// One successor is enough; the next candidate is used only if this one does not take the keys.
			// eslint-disable-next-line no-await-in-loop
			if (instance !== undefined && (await session?.handOver(records))) {
				await this.publishSuccessor({id, instance}); // eslint-disable-line no-await-in-loop
				return;
			}
		}
	}

	private async runAtOwner(id: string, call: Call): Promise<AttemptResult> {
		const {head, deadline, objective, body, policy, cancellation} = call;
		const result = await this.deps.hub.runnerTo(id, OpenTarget.KeyOwner).run({
			id: {instance: this.deps.self.instance, sequence: 0},
			head,
			share: policy.share,
			deadline: new Deadline(deadline.at),
			objective,
			canRetryElsewhere: false,
			body,
			cancellation,
		});
		const isUndelivered = result.end === AttemptEnd.Refused && notDelivered.has(result.reason);
		return isUndelivered ? createUnknown(RefusalReason.KeyHomeUnreachable) : result;
	}

	private successorCandidates(): string[] {
		const {gossip, self} = this.deps;
		const {zone, region} = gossip.localMember;
		const sameZone: string[] = [];
		const others: string[] = [];
		for (const member of gossip.directory.all()) {
			const isLeaving = member.phase === MemberPhase.Draining;
			if (member.id !== self.id && isPresent(member) && !isLeaving) {
				const isSameZone = member.zone === zone && member.region === region;
				(isSameZone ? sameZone : others).push(member.id);
			}
		}

		return [
			...rendezvous(self.id, sameZone, candidatesPerGroup),
			...rendezvous(self.id, others, candidatesPerGroup),
		];
	}

	private async publishSuccessor(successor: KeyOwner): Promise<void> {
		const {gossip, self, store} = this.deps;
		const {instance} = self;
		const fields = [instance, successor.id, successor.instance];
		gossip.spreadRumor({id: `heir ${instance}`, kind: RumorKind.Handover, fields});
		gossip.flush();
		const key = `${handoverPrefix}${instance}`;
		const value = JSON.stringify(successor);
		try {
			await store?.write([{key, value, expect: Precondition.Any}]);
		} catch {
			// The rumor reaches the current members; the row serves members that join later.
		}
	}
}
