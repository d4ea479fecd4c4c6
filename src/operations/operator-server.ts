import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {FindingsError} from '../ini/index.js';
import {bindPort} from '../net/index.js';

/** HTTP response to a request on an {@link OperatorServer}. */
export interface OperatorReply {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
}

/**
 * Handles the requests of one route.
 * @param body - body of the request; empty if there is none.
 * @param parameter - decoded path segment that matched `*`; empty for a route without `*`.
 * @returns the response. A {@link FindingsError} becomes status 400 with its findings, any other error 500.
 */
export type OperatorHandler = (
	body: string,
	parameter: string,
) => OperatorReply | Promise<OperatorReply>;

/** Route of which one segment is a parameter. */
type Pattern = {
	readonly method: string;
	readonly segments: readonly string[];
	readonly parameterIndex: number;
	readonly handler: OperatorHandler;
};

/** Handler of a request and the segment of its path that is the parameter, as it was sent. */
type Match = {readonly handler: OperatorHandler; readonly parameter: string};

/** Stands for the parameter in a route. */
const wildcard = '*';
/** Larger than any request that an operator or a backend server sends. */
const maxBodyBytes = 65_536;

/** The body of a request exceeds {@link maxBodyBytes}. */
class BodyTooLargeError extends Error {
	override name = 'BodyTooLargeError';
}

/**
 * Creates a JSON reply.
 * @param value - value to serialize as the body.
 * @param status - HTTP status.
 * @returns the reply.
 */
export function jsonReply(value: unknown, status = 200): OperatorReply {
	return {status, contentType: 'application/json', body: `${JSON.stringify(value)}\n`};
}

/**
 * Creates a plain-text reply, with the content type of the Prometheus text format.
 * @param body - body of the reply.
 * @param status - HTTP status.
 * @returns the reply.
 */
export function textReply(body: string, status = 200): OperatorReply {
	return {status, contentType: 'text/plain; version=0.0.4', body};
}

/**
 * HTTP server for operators, readiness probes or the announcements of the backend server. It listens on a port of
 * its own, separate from the callers' port.
 */
export class OperatorServer {
	/** Handlers of the routes without a parameter. */
	private readonly handlers = new Map<string, OperatorHandler>();
	private readonly patterns: Pattern[] = [];
	private readonly server: Server = createServer((req, res) => {
		void this.handle(req, res);
	});

	/**
	 * Registers the handler of a route.
	 * @param route - method and path, such as `GET /healthz`; one segment of the path may be `*`.
	 * @param handler - handles the requests of the route.
	 */
	registerHandler(route: string, handler: OperatorHandler): void {
		const [method = '', path = ''] = route.split(' ', 2);
		const segments = path.split('/');
		if (segments.includes(wildcard)) {
			const parameterIndex = segments.indexOf(wildcard);
			this.patterns.push({method, segments, parameterIndex, handler});
		} else {
			this.handlers.set(route, handler);
		}
	}

	/**
	 * Starts to accept requests.
	 * @param address - local IP address.
	 * @param port - TCP port.
	 */
	async listen(address: string, port: number): Promise<void> {
		await bindPort(this.server, (done) => {
			this.server.listen(port, address, done);
		});
	}

	/** Stops accepting requests and closes all connections, including those with a request in progress. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const reply = await this.reply(req);
		res.writeHead(reply.status, {
			'content-type': reply.contentType,
			'content-length': String(new TextEncoder().encode(reply.body).length),
		});
		res.end(reply.body);
	}

	private async reply(req: IncomingMessage): Promise<OperatorReply> {
		const path = (req.url ?? '/').split('?', 1)[0] ?? '/';
		const match = this.findHandler(req.method ?? 'GET', path);
		if (!match) {
			return jsonReply({error: `no route for ${req.method} ${path}`}, 404);
		}

		const segment = decode(match.parameter);
		if (segment === undefined) {
			return jsonReply({error: `not percent-encoded: ${match.parameter}`}, 400);
		}

		try {
			return await match.handler(await readBody(req), segment);
		} catch (err) {
			const isFinding = err instanceof FindingsError;
			const findings = isFinding ? err.findings : undefined;
			const error = isFinding ? 'invalid request' : String(err);
			return jsonReply({error, findings}, isFinding ? 400 : 500);
		}
	}

	private findHandler(method: string, path: string): Match | undefined {
		const exact = this.handlers.get(`${method} ${path}`);
		if (exact) {
			return {handler: exact, parameter: ''};
		}

		const segments = path.split('/');
		const pattern = this.patterns.find(
			(route) => route.method === method && isMatch(route.segments, segments),
		);
		return pattern && {handler: pattern.handler, parameter: segments[pattern.parameterIndex]!};
	}
}

function isMatch(pattern: readonly string[], segments: readonly string[]): boolean {
	const isEqual = (segment: string, i: number) => segment === wildcard || segment === segments[i];
	return pattern.length === segments.length && pattern.every((segment, i) => isEqual(segment, i));
}

/** @returns the decoded segment; undefined if it is not percent-encoded text. */
function decode(segment: string): string | undefined {
	try {
		return decodeURIComponent(segment);
	} catch {
		return undefined;
	}
}

async function readBody(req: IncomingMessage): Promise<string> {
	const chunks: string[] = [];
	let length = 0;
	req.setEncoding('utf8');
	for await (const chunk of req) {
		const text = String(chunk);
		length += text.length;
		if (length > maxBodyBytes) {
			throw new BodyTooLargeError('request body exceeds the size limit');
		}

		chunks.push(text);
	}

	return chunks.join('');
}
