import {isIP} from 'node:net';

/** An IP address and a port. */
export interface Endpoint {
	readonly address: string;
	readonly port: number;
}

const maxPort = 65_535;

/**
 * @param text - `IP:port`.
 * @returns the endpoint, or undefined if the text is not a valid one.
 */
export function parseEndpoint(text: string): Endpoint | undefined {
	const at = text.lastIndexOf(':');
	const address = text.slice(0, Math.max(0, at));
	const port = Number(text.slice(at + 1));
	const isPort = Number.isInteger(port) && port > 0 && port <= maxPort;
	return isIP(address) > 0 && isPort ? {address, port} : undefined;
}

/**
 * @param endpoint - endpoint to format.
 * @returns `IP:port`.
 */
export function formatEndpoint(endpoint: Endpoint): string {
	return `${endpoint.address}:${endpoint.port}`;
}
