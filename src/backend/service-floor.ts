import type {SharedCall} from './fair-shares.js';

/** Part of the share of calls that are served of all customers together that is due to each customer. */
const floorShare = 0.3;
/** Weight of one call in the share of calls that are served; covers about the last 50 calls. */
const servedWeight = 0.02;
/** Starts that a customer can be owed. */
const maxOwed = 2;
/** Customers that are remembered. */
const maxCustomers = 512;

/**
 * Keeps each customer served at least a quarter as often as all customers together, whatever their priorities. Each
 * arrival adds what is due to the customer and each start takes one from it; a customer that is owed a start goes ahead
 * of the priorities. A customer is owed its first start, as one with few calls is seen by each executor only now and
 * then.
 */
export class ServiceFloor {
	private readonly owed = new Map<string, number>();
	private served = 1;

	/**
	 * @param call - a call that waits for a slot.
	 */
	recordArrival({customer}: SharedCall): void {
		if (customer === '') {
			return;
		}

		const owed = this.owed.get(customer);
		this.owed.delete(customer);
		this.owed.set(
			customer,
			owed === undefined ? 1 : Math.min(maxOwed, owed + floorShare * this.served),
		);
		if (this.owed.size > maxCustomers) {
			// The first entry is that of the customer whose last arrival is the longest ago.
			const [oldest] = this.owed.keys();
			this.owed.delete(oldest!);
		}
	}

	/**
	 * @param call - a call that starts.
	 */
	recordStart({customer}: SharedCall): void {
		const owed = this.owed.get(customer);
		if (owed !== undefined) {
			this.owed.set(customer, Math.max(0, owed - 1));
		}

		this.recordServed(customer, 1);
	}

	/**
	 * @param call - a call that is refused.
	 */
	recordRefused({customer}: SharedCall): void {
		this.recordServed(customer, 0);
	}

	/**
	 * @param call - a call that has not started.
	 * @returns whether its customer is owed a start.
	 */
	isOwed({customer}: SharedCall): boolean {
		return this.owed.size > 0 && (this.owed.get(customer) ?? 0) >= 1;
	}

	private recordServed(customer: string, served: number): void {
		if (customer !== '') {
			this.served += (served - this.served) * servedWeight;
		}
	}
}
