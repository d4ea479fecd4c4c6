/** Customers, nodes and demands of the quota model. */
import type {CustomerLimit} from '../../src/quota/index.js';

/** A customer with its usual demand and its quota. */
export interface ModelCustomer {
	readonly name: string;
	/** Usual requests per second over all nodes. */
	readonly usual: number;
	limit: CustomerLimit;
}

/** Size of a simulated deployment. */
export interface ModelSize {
	readonly nodes: number;
	readonly customers: number;
	/** Usual requests per second of all customers. */
	readonly rate: number;
}

export const usualSize: ModelSize = {nodes: 91, customers: 87, rate: 600};

export const zones = [
	{region: 'east', zone: 'a'},
	{region: 'east', zone: 'b'},
	{region: 'west', zone: 'c'},
	{region: 'west', zone: 'd'},
] as const;

const sizeExponent = 1.2;
const quotaFactor = 1.6;

/**
 * @param size - size of the deployment.
 * @returns the customers, the largest first.
 */
export function createCustomers({customers, rate}: ModelSize): ModelCustomer[] {
	const weights = Array.from({length: customers}, (_, rank) => (rank + 1) ** -sizeExponent);
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	return weights.map((weight, rank) => {
		const usual = (rate * weight) / total;
		const quota = usual * quotaFactor;
		return {name: `t${rank + 1}`, usual, limit: {rate: quota, burst: quota}};
	});
}
