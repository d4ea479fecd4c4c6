import type {Millis} from '../clock/index.js';
import type {DeclarationIndex} from '../declaration/index.js';
import type {CustomerUse} from '../ingress/index.js';

/** A customer as operators see it at one node. No key and no digest of a key is shown. */
export interface CustomerReport extends Partial<Omit<CustomerUse, 'customer'>> {
	readonly customer: string;
	/** Whether the configuration in force has the customer. */
	readonly isDeclared: boolean;
	readonly keys: number;
	readonly priority: number | undefined;
	/** Requests per second that the customer may send to all nodes together; 0 for no limit. */
	readonly limit: number;
	readonly burst: number;
	/** Part of the calls per second of all customers at this node, from 0 to 1. */
	readonly share: number;
	readonly age?: Millis;
}

/**
 * @param index - the configuration in force; undefined before the first.
 * @param uses - what customers use at the ingress.
 * @returns the customers of the configuration and those that are still remembered, the largest rate first.
 */
export function reportCustomers(
	index: DeclarationIndex | undefined,
	uses: readonly CustomerUse[],
): CustomerReport[] {
	const usesByName = new Map(uses.map((use) => [use.customer, use]));
	const total = uses.reduce((sum, {rate}) => sum + rate, 0);
	const names = new Set([
		...(index?.declaration.customers ?? []).map(({customer}) => customer),
		...usesByName.keys(),
	]);
	const reports = [...names].map((customer): CustomerReport => {
		const policy = index?.customer(customer);
		const use = usesByName.get(customer);
		return {
			customer,
			isDeclared: policy !== undefined,
			keys: policy?.keyDigests.length ?? 0,
			priority: policy?.priority,
			limit: policy?.rate ?? 0,
			burst: policy?.burst ?? 0,
			share: total > 0 ? (use?.rate ?? 0) / total : 0,
			...use,
		};
	});
	return reports.toSorted((a, b) => (b.rate ?? 0) - (a.rate ?? 0));
}
