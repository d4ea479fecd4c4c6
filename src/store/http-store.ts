import {Agent, request} from 'undici';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {Random} from '../random/index.js';
import {formatEndpoint, type Endpoint} from '../settings/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';
import {CircuitBreaker} from './circuit-breaker.js';
import {
	StoreUnavailableError,
	type ObjectStore,
	type Row,
	type TableService,
	type WriteOperation,
	type WriteResult,
} from './platform-store.js';

/** What a store client is made of. */
export interface HttpStoreParts {
	readonly endpoint: Endpoint;
	/** IP number from which the store is asked; undefined for any. */
	readonly localAddress: string | undefined;
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: Metrics;
	readonly logger: Logger;
}

/** Kinds of operation on the store; the values are part of the metrics. */
export enum StoreOperation {
	Read = 'read',
	List = 'list',
	Write = 'write',
	Delete = 'delete',
	Get = 'get',
	Put = 'put',
	Feed = 'feed',
}

type HttpMethod = 'GET' | 'POST' | 'PUT';
type Reply = {status: number; text: string};

const timeout: Millis = 2 * second;
const maxConnections = 4;
const okStatus = 200;
const notFoundStatus = 404;

/** Talks to the platform's table service and object store over HTTP. */
export class HttpStore implements TableService, ObjectStore {
	private readonly base: string;
	private readonly breaker: CircuitBreaker;
	private readonly agent: Agent;

	constructor(private readonly parts: HttpStoreParts) {
		this.base = `http://${formatEndpoint(parts.endpoint)}/v1`;
		this.breaker = new CircuitBreaker(parts.clock, parts.random);
		const {localAddress} = parts;
		this.agent = new Agent({localAddress, connect: {timeout}, connections: maxConnections});
	}

	/** Whether the store has answered of late. */
	get isUp(): boolean {
		return !this.breaker.isOpen;
	}

	async write(operations: readonly WriteOperation[]): Promise<readonly WriteResult[]> {
		const body = JSON.stringify({operations});
		const reply = await this.ask(StoreOperation.Write, 'POST', '/table/transactions', body);
		const parsed = parseReply<{results: WriteResult[]}>(reply.text);
		return parsed.results;
	}

	async read(key: string): Promise<Row | undefined> {
		const path = `/table/rows/${encodeURIComponent(key)}`;
		const reply = await this.ask(StoreOperation.Read, 'GET', path);
		return reply.status === notFoundStatus ? undefined : parseReply<Row>(reply.text);
	}

	async list(prefix: string): Promise<readonly Row[]> {
		const path = `/table/rows?prefix=${encodeURIComponent(prefix)}`;
		const reply = await this.ask(StoreOperation.List, 'GET', path);
		return parseReply<{rows: Row[]}>(reply.text).rows;
	}

	async deleteAll(prefix: string): Promise<void> {
		const body = JSON.stringify({prefix});
		await this.ask(StoreOperation.Delete, 'POST', '/table/deletions', body);
	}

	async put(name: string, content: string): Promise<void> {
		const path = `/objects/${encodeURIComponent(name)}`;
		await this.ask(StoreOperation.Put, 'PUT', path, content);
	}

	async get(name: string): Promise<string | undefined> {
		const path = `/objects/${encodeURIComponent(name)}`;
		const reply = await this.ask(StoreOperation.Get, 'GET', path);
		return reply.status === notFoundStatus ? undefined : reply.text;
	}

	/** Closes the connections to the store. */
	close(): void {
		void this.agent.destroy();
	}

	private async ask(
		kind: StoreOperation,
		method: HttpMethod,
		path: string,
		body?: string,
	): Promise<Reply> {
		if (!this.breaker.mayAsk()) {
			this.count(kind, 'not-asked');
			throw new StoreUnavailableError('the store has not answered of late');
		}

		try {
			const reply = await this.send(method, path, body);
			this.noteSuccess(kind);
			return reply;
		} catch (err) {
			this.noteFailure(kind);
			throw new StoreUnavailableError(`${kind} failed`, {cause: err});
		}
	}

	private async send(method: HttpMethod, path: string, body: string | undefined): Promise<Reply> {
		const res = await request(`${this.base}${path}`, {
			dispatcher: this.agent,
			method,
			body,
			headers: {'content-type': 'application/json'},
			signal: AbortSignal.timeout(timeout),
		});
		const text = await res.body.text();
		if (res.statusCode !== okStatus && res.statusCode !== notFoundStatus) {
			throw new StoreUnavailableError(`status ${res.statusCode}`);
		}

		return {status: res.statusCode, text};
	}

	private noteSuccess(kind: StoreOperation): void {
		this.count(kind, 'ok');
		if (this.breaker.noteSuccess()) {
			this.parts.logger.log(logEvents.storeUp);
		}
	}

	private noteFailure(kind: StoreOperation): void {
		this.count(kind, 'failed');
		if (this.breaker.noteFailure()) {
			this.parts.logger.log(logEvents.storeDown);
		}
	}

	private count(kind: StoreOperation, result: string): void {
		this.parts.metrics.storeOperations.inc({kind, result});
	}
}

function parseReply<T>(text: string): T {
	// The store is the platform's own; a reply of another form is caught where it is used.
	return JSON.parse(text) as T; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}
