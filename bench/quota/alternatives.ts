/** Rules that were weighed against the quotas of the product; see docs/design/quotas.md. */
import {defaultQuotaSettings, QuotaBasis, type QuotaVerdict} from '../../src/quota/index.js';
import {CustomerBucket} from '../../src/quota/customer-bucket.js';
import {DebtBucket} from '../../src/quota/debt-bucket.js';
import {OwnPart} from '../../src/quota/own-part.js';
import {delayBetween} from './model-network.js';
import type {ModelGate, ModelNode, ModelOptions, QuotaModel} from './quota-model.js';

/** How a rule is created at a node. */
type CreateGate = NonNullable<ModelOptions['createGate']>;

/** Gossip rounds until all nodes of 91 have a sum, at one round of all nodes each 200 ms. */
const gossipDelay = 1400;
const leaseTimeout = 50;

function verdict(isAdmitted: boolean, wait = 500): QuotaVerdict {
	return {isAdmitted, basis: QuotaBasis.Shares, wait: isAdmitted ? 0 : wait};
}

/** Each node uses its equal part of the limit, with its part of the overdraft. */
function equalParts(): CreateGate {
	return (model): ModelGate => {
		const parts = new Map<string, OwnPart>();
		return {
			admit(name) {
				const part = parts.get(name) ?? new OwnPart(defaultQuotaSettings, true);
				parts.set(name, part);
				const {limit} = model.customer(name);
				const now = model.clock.now();
				return verdict(part.admit(limit, model.nodes.length, model.random.next(), now));
			},
		};
	};
}

/** Every node learns the sum over all nodes with the delay of gossip; cuts are left out. */
function gossipSums(): CreateGate {
	const buckets = new Map<string, CustomerBucket>();
	return (model): ModelGate => ({
		admit(name) {
			const {limit} = model.customer(name);
			const now = model.clock.now();
			const bucket =
				buckets.get(name) ?? new CustomerBucket(defaultQuotaSettings, limit.burst, now);
			buckets.set(name, bucket);
			const isAdmitted = model.random.next() < bucket.share(name, limit, 1, now).share;
			model.clock.after(gossipDelay, () => {
				bucket.add(isAdmitted ? 1 : 0, 1, now + gossipDelay);
			});
			return verdict(isAdmitted);
		},
	});
}

/** One node owns the bucket of a customer; others ask it for each request. */
function leases(): CreateGate {
	const buckets = new Map<string, {bucket: DebtBucket; incarnation: number}>();

	function owner(model: QuotaModel, name: string): ModelNode {
		return model.nodes[(Number(name.slice(1)) * 37) % model.nodes.length]!;
	}

	function decide(model: QuotaModel, name: string): boolean {
		const {limit} = model.customer(name);
		const now = model.clock.now();
		const {incarnation} = owner(model, name);
		let own = buckets.get(name);
		if (own?.incarnation !== incarnation) {
			own = {bucket: new DebtBucket(own ? 0 : limit.burst, now), incarnation};
			buckets.set(name, own);
		}

		own.bucket.advance(now, limit);
		const isAdmitted = own.bucket.level >= 1;
		own.bucket.charge(isAdmitted ? 1 : 0);
		return isAdmitted;
	}

	return (model, node): ModelGate => ({
		async admit(name) {
			const at = owner(model, name);
			model.network.use.datagrams += at === node ? 0 : 2;
			const isReachable = at.isUp && !at.isFrozen && !model.network.isCut(node.index, at.index);
			const delay = at === node ? 0 : 2 * delayBetween(node, at);
			return new Promise((resolve) => {
				model.clock.after(isReachable ? delay : leaseTimeout, () => {
					resolve(verdict(isReachable && decide(model, name)));
				});
			});
		},
	});
}

/** Rules by name; each is created anew for a run. */
export const alternatives: ReadonlyMap<string, (() => CreateGate) | undefined> = new Map([
	['sums per zone', undefined],
	['equal parts', equalParts],
	['sums by gossip', gossipSums],
	['owner asked', leases],
]);
