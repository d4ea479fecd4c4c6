import type {RoutePolicy} from './declaration.js';

/**
 * Finds the route of a request by host and longest path prefix. The cost of a lookup is proportional to
 * the number of slashes in the path and does not depend on the number of routes.
 */
export class RouteTable {
	private readonly hosts = new Map<string, Map<string, RoutePolicy>>();

	constructor(routes: readonly RoutePolicy[]) {
		for (const route of routes) {
			const prefixes = this.hosts.get(route.host) ?? new Map<string, RoutePolicy>();
			prefixes.set(route.prefix, route);
			this.hosts.set(route.host, prefixes);
		}
	}

	/**
	 * @param host - host of a request, without its port.
	 * @param path - path of the request; a query string is ignored.
	 * @returns the route with the longest prefix; undefined when there is none.
	 */
	lookUp(host: string, path: string): RoutePolicy | undefined {
		const prefixes = this.hosts.get(host.toLowerCase());
		if (!prefixes) {
			return undefined;
		}

		const query = path.indexOf('?');
		let end = (query === -1 ? path : path.slice(0, query)).lastIndexOf('/');
		while (end >= 0) {
			const route = prefixes.get(path.slice(0, end + 1));
			if (route) {
				return route;
			}

			end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
		}

		return undefined;
	}
}
