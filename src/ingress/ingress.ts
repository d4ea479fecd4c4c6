import {
	createServer,
	validateHeaderName,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';
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
import type {DeclarationIndex, RevisionTracker} from '../declaration/index.js';
import {
	AttemptEnd,
	BodyLostError,
	Cancellation,
	createRefused,
	maxInlineBodyBytes,
	type AnsweredAttempt,
	type Body,
	type Call,
	type CallEnd,
} from '../exchange/index.js';
import {BodyFraming} from '../executor/index.js';
import {
	AnswerCut,
	logEvents,
	PipelineHandling,
	type Logger,
	type Metrics,
} from '../telemetry/index.js';
import {bindPort} from '../net/index.js';
import {withResolvers} from '../util/index.js';
import {chooseFraming, forwardableTrailers, framedHeaders} from './answer-framing.js';
import {AnswerWatch} from './answer-watch.js';
import type {CallQuota} from './call-quota.js';
import {CallerConnection, ConnectionClosedError, type CallerTurn} from './caller-connection.js';
import {
	RefusedRequestError,
	type CallerProtocol,
	type CallParameters,
	type RefusalNotice,
} from './caller-protocol.js';
import {BodyMemory} from './body-memory.js';
import {CustomerUsage} from './customer-usage.js';
import {fingerprint} from './fingerprint.js';
import {NewestConfiguration} from './newest-configuration.js';
import {ParseFailureAction} from './parse-failure.js';
import {RequestBodyError} from './request-body-error.js';
import {hasBody, readRequestBody} from './request-body.js';
import type {PipelineLimits} from './request-pipeline.js';
import {UploadBody} from './upload-body.js';

export interface IngressDependencies {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly protocol: CallerProtocol;
	/** Undefined if idempotency keys are not supported. */
	readonly keyedCalls: KeyedCalls | undefined;
	readonly revisions: Pick<RevisionTracker, 'isBehind' | 'registerListener'>;
	/** Undefined if customers have no limits over all nodes. */
	readonly quota?: CallQuota;
	/** @returns the configuration in force; undefined while the node is not ready. */
	configuration(): DeclarationIndex | undefined;
	/** Runs a call that has no idempotency key or is idempotent. */
	runCall(call: Call): Promise<CallEnd>;
	/** @returns the end of a call that is refused before its body is needed; undefined if it is not. */
	refuseAhead?(call: Call): Promise<CallEnd | undefined>;
}

/** Limit of a request's head while no configuration names a higher one. */
const defaultMaxHeaderBytes = 16_384;
const maxInFlight = 4000;
/** Calls in flight from which on customers get no more than their shares; the rest is for those that have less. */
const maxSharedInFlight = 0.75 * maxInFlight;
const headTimeout: Millis = 10 * second;
/** Memory for the bodies of requests that are held at the same time; the smallest nodes have 250 MB. */
const maxBodyMemory = 32 * 1024 * 1024;
const requestTimeout: Millis = 60 * second;
const idleTimeout: Millis = 15 * second;
/** A caller that sends more requests ahead waits for the first answers; see docs/design/caller-connections.md. */
const pipelineLimits: PipelineLimits = {
	maxForwarded: 16,
	maxUnanswered: 32,
	maxHeldBytes: 4 * maxInlineBodyBytes,
};
const absoluteTarget = /^https?:\/\/([^\/?#]+)(.*)$/iv;
/** Refusals after which the rest of the connection cannot be read as requests, or arrives too slowly. */
const closingReasons: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.BadRequest,
	RefusalReason.BodyTooSlow,
]);
/** Path that issues an idempotency key owned by this node. */
const issuePath = '/turmeric/keys';

/** HTTP server that accepts callers' requests and answers them. */
export class Ingress {
	/** What each customer uses here. */
	readonly customers: CustomerUsage;
	private readonly server: Server;
	private readonly answers: AnswerWatch;
	private readonly connections = new Map<Duplex, CallerConnection>();
	private readonly newest: NewestConfiguration;
	/** Requests whose callers wait to be told that their bodies are read. */
	private readonly awaitingContinue = new WeakSet<IncomingMessage>();
	private readonly bodyMemory: BodyMemory;
	/** Answers being written whose end only their connection marks. */
	private readonly unmarked = new Set<ServerResponse>();
	private isDraining = false;
	/** Whether requests that are not passed on yet are refused. */
	private isRefusing = false;
	/** Time by which the calls that are accepted must end; undefined while the node is not about to leave. */
	private leavesAt: Millis | undefined;

	constructor(private readonly deps: IngressDependencies) {
		this.answers = new AnswerWatch(deps);
		this.customers = new CustomerUsage(deps.clock, deps.metrics, maxSharedInFlight);
		this.newest = new NewestConfiguration(deps.clock, deps.revisions, () => deps.configuration());
		this.bodyMemory = new BodyMemory(maxBodyMemory, (bytes) => {
			deps.metrics.bodyMemory.set(bytes);
		});
		this.server = createServer(
			{
				maxHeaderSize: defaultMaxHeaderBytes,
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
		// Without this listener, the server would ask for the body of a request that may be refused.
		this.server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
			this.awaitingContinue.add(req);
			void this.handle(req, res);
		});
		this.server.on('connection', (socket: Socket) => {
			this.connectionOf(socket);
		});
		this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Duplex) => {
			this.handleParseFailure(err, socket);
		});
	}

	/** Number of requests whose answers have not been taken completely by their connections. */
	get inFlight(): number {
		return this.answers.inFlight;
	}

	/** Number of requests in flight and of connections whose callers may not have received the last answer. */
	get pendingCount(): number {
		const connections = [...this.connections.values()];
		return this.inFlight + connections.filter(({isLingering}) => isLingering).length;
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
	 * Refuses the requests from now on that may last longer than the node: their answers would be cut. Those whose time
	 * limit ends earlier are served, among them nested calls, which end with their parent.
	 * @param at - monotonic time in ms at which the node leaves.
	 */
	refuseBeyond(at: Millis): void {
		this.leavesAt = at;
	}

	/**
	 * @param duration - how long a connection may stay idle, in ms.
	 */
	setIdleTimeout(duration: Millis): void {
		this.server.keepAliveTimeout = duration;
	}

	/**
	 * Raises the limit for the heads of requests on connections that are opened from now on.
	 * @param bytes - the limit, in bytes.
	 */
	setMaxHeaderBytes(bytes: number): void {
		// The server passes this property to the parser of each new connection; its type does not name it.
		Object.assign(this.server, {maxHeaderSize: Math.max(defaultMaxHeaderBytes, bytes)});
	}

	/** Stops accepting connections and closes idle ones; those on which nothing was read, or the part of a head, are not. */
	close(): void {
		// The HTTP server would destroy each connection whose last answer is written, also when it has not taken all of it.
		NetServer.prototype.close.call(this.server);
		for (const connection of this.connections.values()) {
			connection.closeIfUsed();
		}
	}

	/** Refuses each request that has not been passed on: the node has found that nothing is in flight, and leaves. */
	refuseAll(): void {
		this.isRefusing = true;
	}

	/** Closes the remaining connections behind their last answers; what they still send is not read as requests. */
	closeConnections(): void {
		for (const connection of this.connections.values()) {
			connection.closeBehindLast();
		}
	}

	/**
	 * Reports the requests that are cut because the process ends. Where only the end of the connection would show it, the
	 * connection is reset.
	 * @returns their number.
	 */
	breakOffRemaining(): number {
		for (const res of this.unmarked) {
			breakOff(res, BodyFraming.Connection);
		}

		return this.answers.reportRemaining();
	}

	private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const startedAt = this.deps.clock.now();
		const turn = this.connectionOf(req.socket).receive(req, res);
		if (!turn) {
			return;
		}

		this.answers.enter(res, req.url);
		this.deps.metrics.inFlight.set(this.answers.callCount);
		let outcome = Outcome.NotRun;
		try {
			outcome = await this.answer(req, turn);
		} catch (err) {
			outcome = await this.answerError(err, turn);
		} finally {
			this.answers.leave(res, turn);
			this.customers.leave(res, outcome);
			const {metrics, clock} = this.deps;
			metrics.inFlight.set(this.answers.callCount);
			metrics.calls.inc({outcome});
			metrics.duration.observe({outcome}, (clock.now() - startedAt) / second);
		}
	}

	private connectionOf(socket: Socket): CallerConnection {
		const known = this.connections.get(socket);
		if (known) {
			return known;
		}

		const connection = new CallerConnection(socket, {
			clock: this.deps.clock,
			limits: pipelineLimits,
			isDraining: () => this.isDraining,
			handleUnanswered: ({canceled, notForwarded}) => {
				const {logger, metrics} = this.deps;
				metrics.unansweredRequests.inc({state: 'forwarded'}, canceled);
				metrics.unansweredRequests.inc({state: 'waiting'}, notForwarded);
				if (canceled + notForwarded > 1) {
					logger.log(logEvents.requestsUnanswered, {canceled, notForwarded});
				}
			},
		});
		this.connections.set(socket, connection);
		socket.once('close', () => {
			this.connections.delete(socket);
		});
		return connection;
	}

	private async answer(req: IncomingMessage, turn: CallerTurn): Promise<Outcome> {
		this.requireOpen();
		if (this.answers.callCount > maxInFlight) {
			throw new RefusedRequestError(RefusalReason.TooManyCalls);
		}

		this.requireConfiguration();
		const {keyedCalls} = this.deps;
		if (keyedCalls && req.url === issuePath && req.method === 'POST') {
			return this.issueKey(req, turn, keyedCalls);
		}

		normalizeTarget(req);
		checkHead(req);
		const call = await this.createCall(req, turn);
		const {stream} = call.body;
		const upload = stream instanceof UploadBody ? stream : undefined;
		try {
			const end = (upload && (await this.receiveAdmitted(upload, call))) ?? (await this.run(call));
			if (end.result.end === AttemptEnd.Refused) {
				this.deps.quota?.giveBack(call.head.customer);
			}

			return await this.sendEnd(turn, call, end);
		} finally {
			upload?.destroy();
		}
	}

	private requireConfiguration(): DeclarationIndex {
		const index = this.deps.configuration();
		if (!index) {
			throw new RefusedRequestError(RefusalReason.NotReady);
		}

		return index;
	}

	private mayOutlast({at}: Deadline): boolean {
		return this.leavesAt !== undefined && at > this.leavesAt;
	}

	private requireOpen(): void {
		if (this.isRefusing) {
			throw new RefusedRequestError(RefusalReason.Draining);
		}
	}

	private async receiveAdmitted(upload: UploadBody, call: Call): Promise<CallEnd | undefined> {
		try {
			return await this.receive(upload, call);
		} catch (err) {
			this.deps.quota?.giveBack(call.head.customer);
			throw err;
		}
	}

	// Until enough of the body has arrived, the call needs no executor.
	private async receive(upload: UploadBody, call: Call): Promise<CallEnd | undefined> {
		const end = await this.deps.refuseAhead?.(call);
		if (end) {
			return end;
		}

		const {metrics, logger, clock} = this.deps;
		upload.once('failed', () => {
			const {failure: reason = '', receivedBytes: received, isForwarded} = upload;
			const request = call.head.origin.requestId;
			metrics.uploadsEnded.inc({reason});
			logger.log(logEvents.uploadEnded, {request, reason, received, isForwarded});
			call.cancellation.cancel();
		});
		const failure = await upload.receive(call.deadline.timeLeft(clock.now()));
		if (failure !== undefined) {
			throw new RefusedRequestError(failure);
		}

		return undefined;
	}

	private async run(call: Call): Promise<CallEnd> {
		// The node may have begun to leave while the body arrived.
		if (this.mayOutlast(call.deadline)) {
			const result = createRefused(RefusalReason.Draining);
			return {result, attempts: 0, executor: undefined};
		}

		const {key} = call.head;
		const {keyedCalls} = this.deps;
		if (!keyedCalls || key === undefined || call.head.isIdempotent) {
			return this.deps.runCall(call);
		}

		return keyedCalls.run(call, key);
	}

	private async issueKey(
		req: IncomingMessage,
		turn: CallerTurn,
		keyedCalls: KeyedCalls,
	): Promise<Outcome> {
		req.resume();
		turn.refuse();
		const key = keyedCalls.issueKey();
		const text = `${JSON.stringify({key})}\n`;
		if (!(await turn.waitToAnswer(text.length))) {
			return Outcome.NotRun;
		}

		const length = String(text.length);
		const headers = ['content-type', 'application/json', 'content-length', length];
		this.writeHead(turn.res, 201, headers);
		turn.res.end(text);
		return Outcome.Answered;
	}

	private async createCall(
		req: IncomingMessage,
		turn: CallerTurn,
		startedAt = this.deps.clock.now(),
	): Promise<Call> {
		const {index, parameters} = await this.newest.read((newest) => {
			const read = this.deps.protocol.readParameters(req, newest);
			this.checkLength(req, newest);
			return {index: newest, parameters: read};
		});
		if (req.destroyed) {
			throw new RequestBodyError('connection closed before the request was read');
		}

		const deadline = Deadline.in(startedAt, parameters.timeout);
		if (!turn.tryForward(parameters.isIdempotent && !hasBody(req))) {
			await this.waitToForward(turn, deadline);
			if (this.requireConfiguration() !== index) {
				// Routes and keys may have changed while earlier requests were answered.
				return this.createCall(req, turn, startedAt);
			}
		}

		this.requireOpen();
		if (this.mayOutlast(deadline)) {
			throw new RefusedRequestError(RefusalReason.Draining);
		}

		this.customers.enter(turn.res, parameters, this.answers.callCount);
		this.answers.identify(turn.res, parameters.origin);
		const body = await this.readAdmittedBody(turn, parameters, index, deadline);
		const head = createHead(req, parameters, body);
		const cancellation = new Cancellation();
		// A call with an idempotency key continues when its caller disconnects, since the caller is expected
		// to send it again.
		if (head.key === undefined || head.isIdempotent) {
			turn.onLost(() => {
				cancellation.cancel();
			});
		}

		const {policy, service, objective, elapsed} = parameters;
		return {
			head,
			policy,
			service,
			index,
			deadline,
			objective: Deadline.in(startedAt, objective - elapsed),
			objectiveDuration: objective,
			body,
			cancellation,
		};
	}

	private async waitToForward(turn: CallerTurn, deadline: Deadline): Promise<void> {
		const {clock, logger, metrics} = this.deps;
		metrics.pipelinedRequests.inc({handling: PipelineHandling.Waited});
		const undo = clock.after(deadline.timeLeft(clock.now()), () => {
			metrics.pipelinedRequests.inc({handling: PipelineHandling.Expired});
			logger.log(logEvents.requestOutwaited, {path: turn.req.url, unanswered: turn.unanswered});
			turn.refuseWaiting(new RefusedRequestError(RefusalReason.DeadlinePassed));
		});
		try {
			await turn.permission();
		} finally {
			undo();
		}
	}

	private async readBody(
		{req, res}: CallerTurn,
		{isUpload = false}: CallParameters,
		index: DeclarationIndex,
		deadline: Deadline,
	): Promise<Body> {
		const lease = this.bodyMemory.open();
		res.once('close', () => {
			lease.release();
		});
		return readRequestBody(req, {
			clock: this.deps.clock,
			lease,
			isUpload,
			deadline,
			maxBytes: index.declaration.callerLimits?.maxBodyBytes ?? Number.POSITIVE_INFINITY,
			beginReading: () => {
				if (this.awaitingContinue.delete(req)) {
					res.writeContinue();
				}
			},
		});
	}

	// A customer's request is counted before its body is read, once for all its attempts.
	private async readAdmittedBody(
		turn: CallerTurn,
		parameters: CallParameters,
		index: DeclarationIndex,
		deadline: Deadline,
	): Promise<Body> {
		const {customer} = parameters.policy;
		const {quota} = this.deps;
		const verdict = await quota?.admit(customer);
		if (verdict && !verdict.isAdmitted) {
			throw new RefusedRequestError(RefusalReason.QuotaExceeded, verdict.wait);
		}

		try {
			// Nothing reports the end of a connection that has closed before the body is read.
			if (turn.req.destroyed) {
				throw new RequestBodyError('connection closed before the request body was read');
			}

			return await this.readBody(turn, parameters, index, deadline);
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

	private async sendEnd(turn: CallerTurn, call: Call, end: CallEnd): Promise<Outcome> {
		const {result} = end;
		this.logEnd(call, end);
		if (!turn.isNext) {
			void this.noteLateAnswer(turn, call);
		}

		if (result.end === AttemptEnd.Answered) {
			return this.sendAnswer(turn, call, end, result);
		}

		const {reason} = result;
		const retryAfter = end.retryAfter ?? refusals[reason].retryAfter;
		return this.sendRefusal(turn, {reason, retryAfter}, end);
	}

	private async noteLateAnswer(turn: CallerTurn, call: Call): Promise<void> {
		const {clock, logger, metrics} = this.deps;
		await turn.whenNext();
		const late = clock.now() - call.deadline.at;
		if (late > 0) {
			metrics.pipelinedRequests.inc({handling: PipelineHandling.Late});
			const {requestId, route} = call.head.origin;
			logger.log(logEvents.answerOutwaited, {request: requestId, route, late: Math.round(late)});
		}
	}

	private async sendAnswer(
		turn: CallerTurn,
		call: Call,
		end: CallEnd,
		result: AnsweredAttempt,
	): Promise<Outcome> {
		const {body, status} = result;
		const {res} = turn;
		const {stream} = body;
		const framing = chooseFraming(turn.req, result);
		if (framing === BodyFraming.Connection) {
			turn.closeBehind();
			this.trackUnmarked(res);
		}

		if (!turn.tryAnswer()) {
			// A stream that fails while it waits is found to be `errored` afterwards.
			stream?.on('error', () => undefined);
			if (!(await turn.waitToAnswer(body.bytes?.length ?? maxInlineBodyBytes))) {
				stream?.destroy();
				return Outcome.Unknown;
			}
		}

		if (stream?.errored) {
			return this.sendReplacement(turn, call, end);
		}

		res.useChunkedEncodingByDefault = framing !== BodyFraming.Connection;
		const {protocol} = this.deps;
		const headers = [...framedHeaders(framing, result), ...protocol.answerHeaders(call, end)];
		if (!this.tryWriteHead(res, status, headers)) {
			stream?.destroy();
			const reason = RefusalReason.BackendFailed;
			return this.sendRefusal(turn, {reason, retryAfter: refusals[reason].retryAfter}, end);
		}

		if (body.bytes) {
			res.end(body.bytes);
			return Outcome.Answered;
		}

		return this.streamBody(turn, call, body, framing);
	}

	private async streamBody(
		turn: CallerTurn,
		call: Call,
		{stream, trailers}: Body,
		framing: BodyFraming,
	): Promise<Outcome> {
		const {res} = turn;
		const {promise, resolve} = withResolvers<Outcome>();
		// The last chunk is written here only.
		stream?.once('end', () => {
			addTrailers(res, trailers);
			res.end();
			resolve(Outcome.Answered);
		});
		stream?.on('data', (chunk: Uint8Array) => {
			this.answers.recordProgress(res, chunk.length);
		});
		stream?.once('error', (err) => {
			this.answers.reportCut(res, this.reasonOfCut(call, err));
			breakOff(res, framing);
			resolve(Outcome.Unknown);
		});
		res.once('close', () => {
			if (!turn.isTaken) {
				this.answers.reportCut(res, AnswerCut.Caller);
				stream?.destroy();
				resolve(Outcome.Unknown);
			}
		});
		stream?.pipe(res, {end: false});
		return promise;
	}

	private trackUnmarked(res: ServerResponse): void {
		this.unmarked.add(res);
		res.once('close', () => {
			this.unmarked.delete(res);
		});
	}

	// None of the answer has been forwarded.
	private async sendReplacement(turn: CallerTurn, call: Call, end: CallEnd): Promise<Outcome> {
		if (end.replaceAnswer) {
			return this.sendEnd(turn, call, await end.replaceAnswer());
		}

		const reason = RefusalReason.BackendLost;
		return this.sendRefusal(turn, {reason, retryAfter: refusals[reason].retryAfter}, end);
	}

	private reasonOfCut(call: Call, err: Error): AnswerCut {
		if (call.deadline.timeLeft(this.deps.clock.now()) <= 0) {
			return AnswerCut.Deadline;
		}

		const isLinkLost = err instanceof BodyLostError && err.reason === RefusalReason.ExecutorLost;
		return isLinkLost ? AnswerCut.Link : AnswerCut.Backend;
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

	private async sendRefusal(
		turn: CallerTurn,
		notice: RefusalNotice,
		end?: CallEnd,
	): Promise<Outcome> {
		const {reason} = notice;
		const refusal = refusals[reason];
		this.deps.metrics.refusals.inc({reason});
		this.customers.recordRefused(turn.res, reason);
		const text = `${JSON.stringify({outcome: refusal.outcome, reason, attempts: end?.attempts})}\n`;
		if (turn.tryAnswer() || (await turn.waitToAnswer(text.length))) {
			this.writeHead(turn.res, refusal.status, this.refusalHeaders(notice, text));
			turn.res.end(text);
		}

		return refusal.outcome;
	}

	private refusalHeaders(notice: RefusalNotice, text: string): HeaderList {
		const length = String(text.length);
		const headers = ['content-type', 'application/json', 'content-length', length];
		return [...headers, ...this.deps.protocol.refusalHeaders(notice)];
	}

	private async answerError(err: unknown, turn: CallerTurn): Promise<Outcome> {
		const {protocol, logger} = this.deps;
		const {req, res} = turn;
		if (err instanceof ConnectionClosedError) {
			return Outcome.NotRun;
		}

		if (err instanceof RequestBodyError) {
			res.destroy();
			return Outcome.NotRun;
		}

		if (err instanceof RefusedRequestError && !res.headersSent) {
			if (closingReasons.has(err.reason)) {
				// What follows a malformed head may not be a request.
				turn.closeBehind();
			}

			turn.refuse();
			const reason = protocol.refineReason(req, err.reason);
			logger.log(logEvents.requestRefused, {
				host: req.headers.host,
				path: req.url,
				reason,
				revision: this.deps.configuration()?.revision,
			});
			const retryAfter = err.retryAfter ?? refusals[reason].retryAfter;
			return this.sendRefusal(turn, {reason, retryAfter});
		}

		logger.log(logEvents.unexpectedError, {error: String(err)});
		res.destroy();
		return Outcome.Unknown;
	}

	private handleParseFailure(err: NodeJS.ErrnoException, socket: Duplex): void {
		const connection = socket instanceof Socket ? this.connectionOf(socket) : undefined;
		if (connection?.isDroppingInput) {
			return;
		}

		if (err.code === 'ECONNRESET' || !socket.writable || !connection) {
			socket.destroy();
			return;
		}

		const {unanswered} = connection;
		const action = connection.handleParseFailure(err.code);
		this.deps.logger.log(logEvents.inputRejected, {error: err.code, action, unanswered});
		if (action === ParseFailureAction.Refuse) {
			this.refuseBadRequest(err, socket);
		}
	}

	private refuseBadRequest(err: NodeJS.ErrnoException, socket: Duplex): void {
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

	// The HTTP library may refuse a head that a backend server was allowed to send. The caller still gets an answer.
	private tryWriteHead(res: ServerResponse, status: number, headers: HeaderList): boolean {
		try {
			this.writeHead(res, status, headers);
			return true;
		} catch (err) {
			this.deps.logger.log(logEvents.unexpectedError, {error: String(err)});
			return false;
		}
	}

	private writeHead(res: ServerResponse, status: number, headers: HeaderList): void {
		res.sendDate = !hasDate(headers);
		res.writeHead(status, headers);
	}
}

// A server has to accept the absolute form of the target, which names the host (RFC 9112, section 3.2.2).
function normalizeTarget(req: IncomingMessage): void {
	const match = req.url?.startsWith('/') ? undefined : absoluteTarget.exec(req.url ?? '');
	if (match) {
		const [, host, path = ''] = match;
		req.headers.host = host;
		req.url = path.startsWith('/') ? path : `/${path}`;
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

// Shows the caller that the answer is truncated.
function breakOff(res: ServerResponse, framing: BodyFraming): void {
	if (framing === BodyFraming.Connection) {
		res.socket?.resetAndDestroy();
	} else {
		res.destroy();
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
	const pairs = forwardableTrailers(trailers);
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
