import type {
	CallPolicy,
	CustomerPolicy,
	Declaration,
	LinkBudget,
	RoutePolicy,
	ServicePolicy,
} from './declaration.js';
import {RouteTable} from './route-table.js';

/** Looks up policies of one revision. A call uses the same index from start to end. */
export class DeclarationIndex {
	private readonly services = new Map<string, ServicePolicy>();
	private readonly calls = new Map<string, Map<string, CallPolicy>>();
	private readonly routes: RouteTable;
	private readonly customersByKey = new Map<string, CustomerPolicy>();
	private readonly customers = new Map<string, CustomerPolicy>();

	constructor(
		readonly revision: number,
		readonly declaration: Declaration,
	) {
		for (const policy of declaration.services) {
			this.services.set(policy.service, policy);
		}

		this.routes = new RouteTable(declaration.routes ?? []);
		for (const policy of declaration.customers ?? []) {
			this.customers.set(policy.customer, policy);
			for (const digest of policy.keyDigests) {
				this.customersByKey.set(digest, policy);
			}
		}

		for (const policy of declaration.calls) {
			const customers = this.calls.get(policy.service) ?? new Map<string, CallPolicy>();
			customers.set(policy.customer, policy);
			this.calls.set(policy.service, customers);
		}
	}

	/**
	 * @param service - name of a service.
	 * @returns its policy; undefined when it is not declared.
	 */
	service(service: string): ServicePolicy | undefined {
		return this.services.get(service);
	}

	/**
	 * @param service - name of a service.
	 * @param customer - name of a customer.
	 * @returns the policy for the customer's calls; undefined when none is declared.
	 */
	call(service: string, customer: string): CallPolicy | undefined {
		return this.calls.get(service)?.get(customer);
	}

	/**
	 * @param host - host of a request, without its port.
	 * @param path - path of the request.
	 * @returns the route that matches; undefined when there is none.
	 */
	route(host: string, path: string): RoutePolicy | undefined {
		return this.routes.lookUp(host, path);
	}

	/** Whether requests carry keys of customers. */
	get hasCustomers(): boolean {
		return this.declaration.customers !== undefined;
	}

	/**
	 * @param customer - name of a customer.
	 * @returns its policy; undefined when it is not declared.
	 */
	customer(customer: string): CustomerPolicy | undefined {
		return this.customers.get(customer);
	}

	/**
	 * @param digest - digest of a key.
	 * @returns the customer that holds the key; undefined when no customer does.
	 */
	customerOfKey(digest: string): CustomerPolicy | undefined {
		return this.customersByKey.get(digest);
	}

	/**
	 * @param a - one region.
	 * @param b - another region.
	 * @returns the budget of the link between them; undefined where none is declared.
	 */
	link(a: string, b: string): LinkBudget | undefined {
		return this.declaration.links.find(
			({regions}) => regions.includes(a) && regions.includes(b) && a !== b,
		);
	}
}

/**
 * @param policy - policy of the call.
 * @param method - method of the request.
 * @param path - path of the request.
 * @returns whether the request may be executed more than once.
 */
export function isIdempotent(policy: CallPolicy, method: string, path: string): boolean {
	return (
		policy.idempotentMethods.includes(method) ||
		policy.idempotentPaths.some((prefix) => path.startsWith(prefix))
	);
}
