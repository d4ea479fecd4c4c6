import {
	createServer,
	validateHeaderName,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import type {KeyedCalls} from '../claims/index.js';
import {
	Deadline,
	Outcome,
	RefusalReason,
	refusals,
	type HeaderList,
	type RequestHead,
} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {DeclarationIndex} from '../declaration/index.js';
import {
	AttemptEnd,
	Cancellation,
	type AnsweredAttempt,
	type Body,
	type Call,
	type CallEnd,
} from '../exchange/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';
import {bindPort} from '../net/index.js';
import {withResolvers} from '../util/index.js';
import type {CallQuota} from './call-quota.js';
import {
	RefusedRequestError,
	type CallerProtocol,
	type CallParameters,
	type RefusalNotice,
} from './caller-protocol.js';
import {fingerprint} from './fingerprint.js';
import {readRequestBody, RequestBodyError} from './request-body.js';

export interface IngressDependencies {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly protocol: CallerProtocol;
	/** Undefined if idempotency keys are not supported. */
	readonly keyedCalls: KeyedCalls | undefined;
	/** Undefined if customers have no limits over all nodes. */
	readonly quota?: CallQuota;
	/** @returns the configuration in force; undefined while the node is not ready. */
	configuration(): DeclarationIndex | undefined;
	/** Runs a call that has no idempotency key or is idempotent. */
	runCall(call: Call): Promise<CallEnd>;
}

const maxHeaderBytes = 16_384;
const maxInFlight = 4000;
const headTimeout: Millis = 10 * second;
const requestTimeout: Millis = 60 * second;
const idleTimeout: Millis = 15 * second;
/** Path that issues an idempotency key owned by this node. */
const issuePath = '/turmeric/keys';

/** HTTP server that accepts callers' requests and answers them. */
export class Ingress {
	private readonly server: Server;
	private readonly calls = new Set<ServerResponse>();
	private isDraining = false;

	constructor(private readonly deps: IngressDependencies) {
		this.server = createServer(
			{
				maxHeaderSize: maxHeaderBytes,
				headersTimeout: headTimeout,
				requestTimeout,
				keepAliveTimeout: idleTimeout,
				// Checked together with the names of the headers, so that the refusal says that nothing ran.
				requireHostHeader: false,
				insecureHTTPParser: false,
				noDelay: true,
			},
			(req, res) => {
				void this.handle(req, res);
			},
		);
		this.server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
			res.writeContinue();
			void this.handle(req, res);
		});
		this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Duplex) => {
			this.refuseBadRequest(err, socket);
		});
	}

	/** Number of requests that have not been answered. */
	get inFlight(): number {
		return this.calls.size;
	}

	/**
	 * @param address - IP address.
	 * @param port - TCP port.
	 */
	async listen(address: string, port: number): Promise<void> {
		await bindPort(this.server, (done) => {
			this.server.listen(port, address, done);
		});
	}

	/** Makes callers reconnect to other nodes: each connection is closed after its next answer. */
	drain(): void {
		this.isDraining = true;
	}

	/**
	 * @param duration - how long a connection may stay idle, in ms.
	 */
	setIdleTimeout(duration: Millis): void {
		this.server.keepAliveTimeout = duration;
	}

	/** Stops accepting connections and closes idle ones. */
	close(): void {
		this.server.close();
		this.server.closeIdleConnections();
	}

	private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const startedAt = this.deps.clock.now();
		this.calls.add(res);
		this.deps.metrics.inFlight.set(this.calls.size);
		let outcome = Outcome.NotRun;
		try {
			outcome = await this.answer(req, res);
		} catch (err) {
			outcome = this.answerError(err, req, res);
		} finally {
			this.calls.delete(res);
			const {metrics, clock} = this.deps;
			metrics.inFlight.set(this.calls.size);
			metrics.calls.inc({outcome});
			metrics.duration.observe({outcome}, (clock.now() - startedAt) / second);
		}
	}

	private async answer(req: IncomingMessage, res: ServerResponse): Promise<Outcome> {
		if (this.calls.size > maxInFlight) {
			throw new RefusedRequestError(RefusalReason.TooManyCalls);
		}

		const index = this.deps.configuration();
		if (!index) {
			throw new RefusedRequestError(RefusalReason.NotReady);
		}

		const {keyedCalls} = this.deps;
		if (keyedCalls && req.url === issuePath && req.method === 'POST') {
			return this.issueKey(req, res, keyedCalls);
		}

		checkHead(req);
		const call = await this.createCall(req, res, index);
		const end = await this.run(call);
		if (end.result.end === AttemptEnd.Refused) {
			this.deps.quota?.giveBack(call.head.customer);
		}

		return this.sendEnd(res, call, end);
	}

	private async run(call: Call): Promise<CallEnd> {
		const {key} = call.head;
		const {keyedCalls} = this.deps;
		if (!keyedCalls || key === undefined || call.head.isIdempotent) {
			return this.deps.runCall(call);
		}

		return keyedCalls.run(call, key);
	}

	private issueKey(req: IncomingMessage, res: ServerResponse, keyedCalls: KeyedCalls): Outcome {
		req.resume();
		const key = keyedCalls.issueKey();
		this.writeHead(res, 201, ['content-type', 'application/json']);
		res.end(`${JSON.stringify({key})}\n`);
		return Outcome.Answered;
	}

	private async createCall(
		req: IncomingMessage,
		res: ServerResponse,
		index: DeclarationIndex,
	): Promise<Call> {
		const startedAt = this.deps.clock.now();
		const parameters = this.deps.protocol.readParameters(req, index);
		this.checkLength(req, index);
		const body = await this.readAdmittedBody(req, parameters.policy.customer);
		const head = createHead(req, parameters, body);
		const cancellation = new Cancellation();
		// A call with an idempotency key continues when its caller disconnects, since the caller is expected
		// to send it again.
		if (head.key === undefined || head.isIdempotent) {
			res.once('close', () => {
				if (!res.writableFinished) {
					cancellation.cancel();
				}
			});
		}

		const {policy, service, timeout, objective, elapsed} = parameters;
		return {
			head,
			policy,
			service,
			index,
			deadline: Deadline.in(startedAt, timeout),
			objective: Deadline.in(startedAt, objective - elapsed),
			objectiveDuration: objective,
			body,
			cancellation,
		};
	}

	private async readAdmittedBody(req: IncomingMessage, customer: string): Promise<Body> {
		const {quota} = this.deps;
		const verdict = await quota?.admit(customer);
		if (verdict && !verdict.isAdmitted) {
			throw new RefusedRequestError(RefusalReason.QuotaExceeded, verdict.wait);
		}

		try {
			return await readRequestBody(req);
		} catch (err) {
			quota?.giveBack(customer);
			throw err;
		}
	}

	private checkLength(req: IncomingMessage, index: DeclarationIndex): void {
		const limit = index.declaration.callerLimits?.maxBodyBytes;
		if (limit !== undefined && Number(req.headers['content-length'] ?? 0) > limit) {
			throw new RefusedRequestError(RefusalReason.BodyTooLarge);
		}
	}

	private async sendEnd(res: ServerResponse, call: Call, end: CallEnd): Promise<Outcome> {
		const {result} = end;
		const {protocol} = this.deps;
		this.logEnd(call, end);
		if (result.end === AttemptEnd.Answered) {
			return this.sendAnswer(res, result, protocol.answerHeaders(call, end));
		}

		const {reason} = result;
		const retryAfter = end.retryAfter ?? refusals[reason].retryAfter;
		return this.sendRefusal(res, {reason, retryAfter}, end);
	}

	private async sendAnswer(
		res: ServerResponse,
		result: AnsweredAttempt,
		extraHeaders: HeaderList,
	): Promise<Outcome> {
		const {body, status, headers} = result;
		// With chunked encoding, an undelimited answer that was truncated would look complete.
		res.useChunkedEncodingByDefault = body.isDelimited;
		this.writeHead(res, status, [...headers, ...extraHeaders]);
		if (body.bytes) {
			res.end(body.bytes);
			return Outcome.Answered;
		}

		const {promise, resolve} = withResolvers<Outcome>();
		const {stream} = body;
		stream?.once('end', () => {
			addTrailers(res, body.trailers);
			res.end();
			resolve(Outcome.Answered);
		});
		stream?.once('error', () => {
			// Closing the connection shows the caller that the answer is truncated.
			res.destroy();
			resolve(Outcome.Unknown);
		});
		res.once('close', () => {
			if (!res.writableFinished) {
				stream?.destroy();
				resolve(Outcome.Unknown);
			}
		});
		stream?.pipe(res, {end: false});
		return promise;
	}

	private logEnd(call: Call, end: CallEnd): void {
		const {result} = end;
		const {clock, logger} = this.deps;
		const now = clock.now();
		const isAnswered = result.end === AttemptEnd.Answered;
		logger.log(logEvents.callEnded, {
			request: call.head.origin.requestId,
			route: call.head.origin.route,
			service: call.head.service,
			end: result.end,
			status: isAnswered ? result.status : refusals[result.reason].status,
			reason: isAnswered ? undefined : result.reason,
			attempts: end.attempts,
			executor: end.executor,
			objectiveLeft: Math.round(call.objective.at - now),
			timeLeft: Math.round(call.deadline.at - now),
			roomIn: end.retryAfter && Math.round(end.retryAfter),
			revision: call.index.revision,
		});
	}

	private sendRefusal(res: ServerResponse, notice: RefusalNotice, end?: CallEnd): Outcome {
		const {reason} = notice;
		const refusal = refusals[reason];
		this.deps.metrics.refusals.inc({reason});
		const text = `${JSON.stringify({outcome: refusal.outcome, reason, attempts: end?.attempts})}\n`;
		this.writeHead(res, refusal.status, this.refusalHeaders(notice, text));
		res.end(text);
		return refusal.outcome;
	}

	private refusalHeaders(notice: RefusalNotice, text: string): HeaderList {
		const length = String(text.length);
		const headers = ['content-type', 'application/json', 'content-length', length];
		return [...headers, ...this.deps.protocol.refusalHeaders(notice)];
	}

	private answerError(err: unknown, req: IncomingMessage, res: ServerResponse): Outcome {
		const {protocol, logger} = this.deps;
		if (err instanceof RequestBodyError) {
			res.destroy();
			return Outcome.NotRun;
		}

		if (err instanceof RefusedRequestError && !res.headersSent) {
			// The rest of the request is not read, so the connection is closed after the refusal.
			res.shouldKeepAlive = req.complete && err.reason !== RefusalReason.BadRequest;
			const reason = protocol.refineReason(req, err.reason);
			logger.log(logEvents.requestRefused, {
				host: req.headers.host,
				path: req.url,
				reason,
				revision: this.deps.configuration()?.revision,
			});
			const retryAfter = err.retryAfter ?? refusals[reason].retryAfter;
			return this.sendRefusal(res, {reason, retryAfter});
		}

		logger.log(logEvents.unexpectedError, {error: String(err)});
		res.destroy();
		return Outcome.Unknown;
	}

	private refuseBadRequest(err: NodeJS.ErrnoException, socket: Duplex): void {
		if (err.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const reason = RefusalReason.BadRequest;
		this.deps.metrics.refusals.inc({reason});
		this.deps.metrics.calls.inc({outcome: Outcome.NotRun});
		const text = `${JSON.stringify({outcome: Outcome.NotRun, reason, detail: err.code})}\n`;
		const headers = this.refusalHeaders({reason, retryAfter: refusals[reason].retryAfter}, text);
		const headerLines: string[] = [];
		for (let i = 0; i < headers.length; i += 2) {
			headerLines.push(`${headers[i]}: ${headers[i + 1]}\r\n`);
		}

		socket.end(
			`HTTP/1.1 ${badRequestStatus(err)}\r\nConnection: close\r\n${headerLines.join('')}\r\n${text}`,
		);
	}

	private writeHead(res: ServerResponse, status: number, headers: HeaderList): void {
		if (this.isDraining) {
			res.shouldKeepAlive = false;
		}

		res.sendDate = !hasDate(headers);
		res.writeHead(status, headers);
	}
}

// Some versions of the HTTP parser accept a space after the name of a header, which a backend server may
// read as another header (RFC 9112, section 5.1).
function checkHead({rawHeaders, headers, httpVersion}: IncomingMessage): void {
	const isHostMissing = headers.host === undefined && httpVersion === '1.1';
	const hasInvalidName = rawHeaders.some((name, i) => i % 2 === 0 && !isHeaderName(name));
	if (isHostMissing || hasInvalidName) {
		throw new RefusedRequestError(RefusalReason.BadRequest);
	}
}

function isHeaderName(name: string): boolean {
	try {
		validateHeaderName(name);
		return true;
	} catch {
		return false;
	}
}

function badRequestStatus(err: NodeJS.ErrnoException): string {
	switch (err.code) {
		case 'HPE_HEADER_OVERFLOW': {
			return '431 Request Header Fields Too Large';
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return '408 Request Timeout';
		}

		default: {
			return '400 Bad Request';
		}
	}
}

function hasDate(headers: HeaderList): boolean {
	for (let i = 0; i < headers.length; i += 2) {
		if (headers[i]!.toLowerCase() === 'date') {
			return true;
		}
	}

	return false;
}

function addTrailers(res: ServerResponse, trailers: HeaderList): void {
	const pairs: Array<[string, string]> = [];
	for (let i = 0; i < trailers.length; i += 2) {
		pairs.push([trailers[i]!, trailers[i + 1]!]);
	}

	if (pairs.length > 0) {
		res.addTrailers(pairs);
	}
}

function createHead(req: IncomingMessage, parameters: CallParameters, body: Body): RequestHead {
	const {policy, headers, isIdempotent, key, origin, allowedRegions} = parameters;
	const {service, customer} = policy;
	const method = req.method ?? 'GET';
	const path = req.url ?? '/';
	return {
		service,
		customer,
		method,
		path,
		headers,
		isIdempotent,
		key,
		origin,
		fingerprint: fingerprint({service, customer, method, path, key, body}),
		allowedRegions,
	};
}
