import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {FindingsError} from '../ini/index.js';
import {bindPort} from '../net/index.js';

/** An answer to an operator. */
export interface OperatorReply {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
}

/** Answers one kind of request. */
export type OperatorHandler = (
	body: string,
	parameter: string,
) => OperatorReply | Promise<OperatorReply>;

const maxBodyBytes = 65_536;

/** A request that is larger than any that an operator or a backend server sends. */
class BodyTooLargeError extends Error {
	override name = 'BodyTooLargeError';
}

/**
 * @param value - what to send.
 * @param status - HTTP status.
 * @returns a reply in JSON.
 */
export function jsonReply(value: unknown, status = 200): OperatorReply {
	return {status, contentType: 'application/json', body: `${JSON.stringify(value)}\n`};
}

/**
 * @param body - what to send.
 * @param status - HTTP status.
 * @returns a reply in plain text.
 */
export function textReply(body: string, status = 200): OperatorReply {
	return {status, contentType: 'text/plain; version=0.0.4', body};
}

/** Serves operators and the backend server, on a port apart from that of the callers. */
export class OperatorServer {
	private readonly handlers = new Map<string, OperatorHandler>();
	private readonly server: Server = createServer((req, res) => {
		void this.handle(req, res);
	});

	/**
	 * @param route - method and path, as in `GET /healthz`; one step of a path may be `*`.
	 * @param handler - answers requests.
	 */
	registerHandler(route: string, handler: OperatorHandler): void {
		this.handlers.set(route, handler);
	}

	/**
	 * @param address - IP number.
	 * @param port - TCP port.
	 */
	async listen(address: string, port: number): Promise<void> {
		await bindPort(this.server, (done) => {
			this.server.listen(port, address, done);
		});
	}

	/** Takes no more requests. */
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
		const found = this.findHandler(req.method ?? 'GET', path);
		if (!found) {
			return jsonReply({error: `no route for ${req.method} ${path}`}, 404);
		}

		try {
			return await found.handler(await readBody(req), found.parameter);
		} catch (err) {
			const isFinding = err instanceof FindingsError;
			const findings = isFinding ? err.findings : undefined;
			const error = isFinding ? 'invalid request' : String(err);
			return jsonReply({error, findings}, isFinding ? 400 : 500);
		}
	}

	private findHandler(
		method: string,
		path: string,
	): {handler: OperatorHandler; parameter: string} | undefined {
		const exact = this.handlers.get(`${method} ${path}`);
		if (exact) {
			return {handler: exact, parameter: ''};
		}

		// One step of the path may be a parameter.
		const steps = path.split('/');
		for (const [i, parameter] of steps.entries()) {
			const pattern = steps.with(i, '*').join('/');
			const handler = this.handlers.get(`${method} ${pattern}`);
			if (handler && i > 0) {
				return {handler, parameter: decodeURIComponent(parameter)};
			}
		}

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
			throw new BodyTooLargeError('the body is too large');
		}

		chunks.push(text);
	}

	return chunks.join('');
}
