import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {DeclarationIndex, type CallPolicy} from '../../../declaration/index.js';
import {
	AttemptEnd,
	createBufferedBody,
	createRefused,
	createStreamBody,
	createUnknown,
	type Body,
	type Call,
	type CallEnd,
} from '../../../exchange/index.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {withResolvers} from '../../../util/index.js';
import {SystemClock} from '../../../wiring/system-clock.js';
import {RefusedRequestError, type CallerProtocol} from '../../caller-protocol.js';
import {Ingress} from '../../ingress.js';

const policy: CallPolicy = {
	service: 's',
	customer: '',
	deadline: 5000,
	maxDeadline: 5000,
	idempotentMethods: [],
	idempotentPaths: [],
	maxAttempts: 1,
	retryShare: 0,
	hedgeShare: 0,
	share: 1,
	keyRetention: 0,
};
const index = new DeclarationIndex(1, {deployment: '', services: [], calls: [], links: []});
/** The order of requests in flight decides the verdicts; this only lets what must not happen happen. */
const settleTime = 60;
const shortTimeout = 150;

/** Reads the kind of a request from its path: `/safe/...`, `/unsafe/...`, `/brief/...`, `/bad`, `/none`. */
const protocol: CallerProtocol = {
	readParameters(req) {
		const [, kind] = (req.url ?? '/').split('/');
		if (kind === 'bad' || kind === 'none') {
			throw new RefusedRequestError(
				kind === 'bad' ? RefusalReason.BadRequest : RefusalReason.NoRoute,
			);
		}

		const timeout = kind === 'brief' ? shortTimeout : 5000;
		return {
			service: {
				service: 's',
				kind: '',
				queue: 1,
				warmUp: 0,
				probeBudget: 0,
				isOtherRegionAllowed: true,
			},
			policy,
			isIdempotent: kind === 'safe',
			key: undefined,
			origin: {requestId: req.url ?? '', caller: '', route: kind ?? '', priority: 0},
			timeout,
			objective: timeout,
			elapsed: 0,
			headers: [],
		};
	},
	answerHeaders: () => [],
	refusalHeaders: () => [],
	refineReason: (_req, reason) => reason,
};

async function sleep(duration = settleTime): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, duration);
	});
}

async function until(check: () => boolean): Promise<void> {
	while (!check()) {
		await sleep(5);
	}
}

async function findPort(): Promise<number> {
	const server = createServer();
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return port;
}

/** A caller that writes bytes as they are and keeps everything that it gets. */
class RawCaller {
	received = '';
	error: string | undefined;
	isClosed = false;
	readonly socket: Socket;

	constructor(port: number) {
		this.socket = connect(port, '127.0.0.1');
		this.socket.setEncoding('utf8');
		this.socket.on('data', (text: string) => {
			this.received += text;
		});
		this.socket.on('error', (err: NodeJS.ErrnoException) => {
			this.error = err.code;
		});
		this.socket.once('close', () => {
			this.isClosed = true;
		});
	}

	/** Status codes of the answers, in order. */
	get statuses(): number[] {
		return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/gv)].map((match) => Number(match[1]));
	}

	send(...paths: string[]): void {
		this.socket.write(paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''));
	}
}

describe('Ingress', () => {
	let ingress: Ingress;
	let metrics: Metrics;
	let port = 0;
	let calls: Map<string, {call: Call; end(end: CallEnd): void}>;
	let started: string[];
	let isAnswering = false;
	const callers: RawCaller[] = [];

	function open(): RawCaller {
		const caller = new RawCaller(port);
		callers.push(caller);
		return caller;
	}

	function finish(path: string, body: Body = createBufferedBody(Buffer.from(`<${path}>`))): void {
		const headers =
			body.bytes && body.isDelimited ? ['content-length', String(body.bytes.length)] : [];
		calls.get(path)?.end({
			result: {end: AttemptEnd.Answered, status: 200, headers, body, load: undefined},
			attempts: 1,
			executor: undefined,
		});
	}

	beforeEach(async () => {
		calls = new Map();
		started = [];
		isAnswering = false;
		metrics = new Metrics();
		ingress = new Ingress({
			clock: new SystemClock(),
			metrics,
			logger: silentLogger,
			protocol,
			keyedCalls: undefined,
			revisions: {isBehind: false, registerListener: () => () => undefined},
			configuration: () => index,
			async runCall(call) {
				const {promise, resolve} = withResolvers<CallEnd>();
				started.push(call.head.path);
				calls.set(call.head.path, {call, end: resolve});
				call.cancellation.registerListener(() => {
					const result = createUnknown(RefusalReason.Canceled);
					resolve({result, attempts: 1, executor: undefined});
				});
				if (isAnswering) {
					finish(call.head.path);
				}

				return promise;
			},
		});
		port = await findPort();
		await ingress.listen('127.0.0.1', port);
	});

	afterEach(() => {
		for (const caller of callers.splice(0)) {
			caller.socket.destroy();
		}

		ingress.close();
	});

	it('starts consecutive safe requests at once and answers them in order', async () => {
		const caller = open();
		caller.send('/safe/1', '/safe/2', '/safe/3');
		await until(() => started.length === 3);
		finish('/safe/3');
		finish('/safe/2');
		await sleep();
		expect(caller.received).toBe('');
		finish('/safe/1');
		await until(() => caller.statuses.length === 3);
		expect(caller.received.match(/<[^>]+>/gv)).toEqual(['</safe/1>', '</safe/2>', '</safe/3>']);
	});

	it('forwards an unsafe request, and what follows it, only once every earlier answer is complete', async () => {
		const caller = open();
		caller.send('/safe/1', '/unsafe/2', '/safe/3');
		await until(() => started.length === 1);
		await sleep();
		expect(started).toEqual(['/safe/1']);
		finish('/safe/1');
		await until(() => started.length === 2);
		await sleep();
		expect(started).toEqual(['/safe/1', '/unsafe/2']);
		finish('/unsafe/2');
		await until(() => started.length === 3);
		finish('/safe/3');
		await until(() => caller.statuses.length === 3);
	});

	// Guards against a stop that cuts the answers which their callers have not taken yet.
	it('counts a request as in flight until its connection has taken the whole answer', async () => {
		const caller = open();
		caller.send('/safe/1');
		await until(() => started.length === 1);
		caller.socket.pause();
		finish('/safe/1', createBufferedBody(Buffer.alloc(32 * 1024 * 1024, 'x')));
		await sleep();
		expect(ingress.inFlight).toBe(1);
		caller.socket.resume();
		await until(() => ingress.inFlight === 0);
	});

	it('does not count a request whose caller left before it took the whole answer', async () => {
		const caller = open();
		caller.send('/safe/1');
		await until(() => started.length === 1);
		caller.socket.pause();
		finish('/safe/1', createBufferedBody(Buffer.alloc(32 * 1024 * 1024, 'x')));
		await sleep();
		caller.socket.destroy();
		await until(() => ingress.inFlight === 0);
	});

	// Guards against a request that runs after its connection was lost, and an answer that counts as sent though it was cut.
	it('takes no answer for complete that was lost with its connection', async () => {
		const caller = open();
		caller.send('/safe/1', '/unsafe/2');
		await until(() => started.length === 1);
		caller.socket.pause();
		finish('/safe/1', createBufferedBody(Buffer.alloc(32 * 1024 * 1024, 'x')));
		await sleep();
		caller.socket.resetAndDestroy();
		await until(() => ingress.inFlight === 0);
		await sleep();
		expect(started).toEqual(['/safe/1']);
		const {values} = await metrics.answersCut.get();
		expect(values.map(({labels, value}) => [labels.cut, value])).toEqual([['caller', 1]]);
	});

	// Guards against a request that stays open until its caller leaves, so that a stop has to wait for it.
	it('refuses a request whose small body is not complete by its deadline', async () => {
		const caller = open();
		caller.socket.write('POST /brief/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n01234');
		await until(() => caller.statuses.length === 1);
		expect(caller.statuses).toEqual([408]);
		expect(started).toEqual([]);
		await until(() => ingress.inFlight === 0);
	});

	it('runs no unsafe request behind an answer that closes the connection', async () => {
		const caller = open();
		caller.send('/safe/1', '/unsafe/2');
		await until(() => started.length === 1);
		ingress.drain();
		finish('/safe/1', createBufferedBody(Buffer.from('part'), [], false));
		await until(() => caller.isClosed);
		await sleep();
		expect(started).toEqual(['/safe/1']);
		expect(caller.received).toMatch(/connection: close/iv);
		expect(ingress.inFlight).toBe(0);
	});

	it('marks the end of an answer without a length, and serves the requests behind it', async () => {
		const caller = open();
		caller.send('/safe/1', '/unsafe/2');
		await until(() => started.length === 1);
		finish('/safe/1', createBufferedBody(Buffer.from('whole'), [], false));
		await until(() => started.length === 2);
		finish('/unsafe/2');
		await until(() => caller.statuses.length === 2);
		expect(caller.received).toMatch(/content-length: 5\r\n(?:[^\r]+\r\n)*\r\nwhole/iv);
		await until(() => ingress.inFlight === 0);
	});

	// Guards against a cut answer that ends like a whole one, as only its connection marks its end.
	it.each(['the answer is broken off', 'the node leaves'])(
		'resets the connection of a caller that knows no chunks when %s',
		async (cause) => {
			const caller = open();
			caller.socket.write('GET /safe/1 HTTP/1.0\r\nHost: a\r\n\r\n');
			await until(() => started.length === 1);
			const stream = new PassThrough();
			stream.write('part');
			finish('/safe/1', createStreamBody(stream, [], true));
			await until(() => caller.received.endsWith('part'));
			expect(caller.received).not.toMatch(/transfer-encoding/iv);
			if (cause === 'the node leaves') {
				ingress.breakOffRemaining();
			} else {
				stream.destroy(new Error('lost'));
			}

			await until(() => caller.isClosed);
			expect(caller.error).toBe('ECONNRESET');
		},
	);

	it('keeps the connection open behind an answer that has no content by its status', async () => {
		const caller = open();
		caller.send('/safe/1', '/safe/2');
		await until(() => started.length === 2);
		calls.get('/safe/1')!.end({
			result: {
				end: AttemptEnd.Answered,
				status: 204,
				headers: [],
				body: createBufferedBody(new Uint8Array(), [], false),
				load: undefined,
			},
			attempts: 1,
			executor: undefined,
		});
		finish('/safe/2');
		await until(() => caller.statuses.length === 2);
		expect(caller.statuses).toEqual([204, 200]);
	});

	it('closes a connection while draining only behind the last forwarded request', async () => {
		const caller = open();
		caller.send('/safe/1', '/safe/2', '/unsafe/3');
		await until(() => started.length === 2);
		ingress.drain();
		finish('/safe/1');
		finish('/safe/2');
		await until(() => caller.isClosed);
		expect(caller.received.match(/<[^>]+>/gv)).toEqual(['</safe/1>', '</safe/2>']);
		expect(caller.received.match(/connection: close/giv)).toHaveLength(1);
		await sleep();
		expect(started).toEqual(['/safe/1', '/safe/2']);
		expect(ingress.inFlight).toBe(0);
	});

	it('answers a request that is received while draining, and closes behind it', async () => {
		ingress.drain();
		const caller = open();
		caller.send('/safe/1', '/safe/2');
		await until(() => started.length === 1);
		finish('/safe/1');
		await until(() => caller.isClosed);
		expect(caller.statuses).toEqual([200]);
		expect(started).toEqual(['/safe/1']);
	});

	it('cancels all requests of a caller that resets its connection', async () => {
		const caller = open();
		caller.send('/safe/1', '/safe/2', '/safe/3', '/unsafe/4');
		await until(() => started.length === 3);
		const stream = new PassThrough();
		finish('/safe/2', createStreamBody(stream));
		caller.socket.resetAndDestroy();
		await until(() => ingress.inFlight === 0);
		expect(calls.get('/safe/1')!.call.cancellation.isCanceled).toBe(true);
		expect(calls.get('/safe/3')!.call.cancellation.isCanceled).toBe(true);
		expect(stream.destroyed).toBe(true);
		expect(started).not.toContain('/unsafe/4');
	});

	it.each([
		['garbage', '\u0001\u0002 garbage\r\n\r\n'],
		['the head of a malformed request', 'GET /safe/2 HTTP/1.1\r\nNo colon\r\n\r\n'],
	])('answers a valid request although %s follows it', async (_name, text) => {
		const caller = open();
		caller.socket.write(`GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n${text}`);
		await until(() => started.length === 1);
		await sleep();
		expect(caller.received).toBe('');
		finish('/safe/1');
		await until(() => caller.isClosed);
		expect(caller.statuses).toEqual([200]);
		expect(caller.received).toContain('</safe/1>');
	});

	it('completes an answer that is being written when garbage arrives, then closes', async () => {
		const caller = open();
		caller.send('/safe/1');
		await until(() => started.length === 1);
		const stream = new PassThrough();
		finish('/safe/1', createStreamBody(stream));
		stream.write('first');
		await until(() => caller.received.includes('first'));
		caller.socket.write('\u0001\u0002 garbage\r\n\r\n');
		await sleep();
		stream.end('last');
		await until(() => caller.isClosed);
		expect(caller.received).toContain('last');
		expect(caller.statuses).toEqual([200]);
	});

	it('answers garbage after an answered request with the close of the connection only', async () => {
		const caller = open();
		caller.send('/safe/1');
		await until(() => started.length === 1);
		finish('/safe/1');
		await until(() => caller.statuses.length === 1);
		caller.socket.write('\u0001\u0002 garbage\r\n\r\n');
		await until(() => caller.isClosed);
		expect(caller.statuses).toEqual([200]);
	});

	it('answers each request that is refused, in order, and forwards those behind it', async () => {
		const caller = open();
		caller.send('/safe/1', '/none', '/safe/3', '/unsafe/4');
		await until(() => started.length === 2);
		finish('/safe/3');
		finish('/safe/1');
		await until(() => started.length === 3);
		finish('/unsafe/4');
		await until(() => caller.statuses.length === 4);
		expect(caller.statuses).toEqual([200, 404, 200, 200]);
	});

	it('forwards nothing behind a malformed request', async () => {
		const caller = open();
		caller.send('/safe/1', '/bad', '/safe/3', '/unsafe/4');
		await until(() => started.length > 0);
		finish('/safe/1');
		await until(() => caller.isClosed);
		expect(caller.statuses).toEqual([200, 400]);
		expect(started).toEqual(['/safe/1']);
		expect(ingress.inFlight).toBe(0);
	});

	it('refuses a request as not run when its deadline passes behind a long answer', async () => {
		const caller = open();
		caller.send('/safe/1', '/brief/2', '/safe/3');
		await until(() => started.length === 1);
		await sleep(shortTimeout + settleTime);
		finish('/safe/1');
		await until(() => started.length === 2);
		finish('/safe/3');
		await until(() => caller.statuses.length === 3);
		expect(caller.statuses).toEqual([200, 503, 200]);
		expect(caller.received).toContain('"reason":"deadline-passed"');
		expect(started).not.toContain('/brief/2');
	});

	it('bounds the requests that run and those that are read', async () => {
		const caller = open();
		const paths = Array.from({length: 5000}, (_, i) => `/safe/${i}`);
		caller.send(...paths);
		await until(() => started.length > 0);
		await sleep(300);
		expect(started).toHaveLength(16);
		// The parser hands over all requests of the bytes that were read at once: at most 64 KiB.
		expect(ingress.inFlight).toBeLessThan(2000);
		isAnswering = true;
		for (let i = 0; i < 16; i += 1) {
			finish(`/safe/${i}`);
		}

		await until(() => started.length === paths.length && ingress.inFlight === 0);
		await until(() => caller.received.endsWith(`</safe/${paths.length - 1}>`));
		expect(caller.statuses).toHaveLength(paths.length);
	});

	it('lets a caller read a refusal that it has not seen before it has sent the whole body', async () => {
		const caller = open();
		caller.socket.pause();
		caller.socket.write('POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n');
		for (let i = 0; i < 30; i += 1) {
			caller.socket.write(Buffer.alloc(100_000, 'x'));
			await sleep(5);
		}

		caller.socket.resume();
		await until(() => caller.isClosed);
		expect({statuses: caller.statuses, error: caller.error}).toEqual({
			statuses: [404],
			error: undefined,
		});
	});

	// The server reads the rest of a body only if nobody has read any of it. The next request was never seen, and was
	// answered with 408 after a minute.
	it.each(['answer', 'refusal'])(
		'leaves no connection open behind an %s when the body of its request was read in part',
		async (kind) => {
			const caller = open();
			const head = 'POST /unsafe/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n';
			caller.socket.write(head + 'x'.repeat(200_000));
			await until(() => started.length === 1);
			const {stream} = calls.get('/unsafe/1')!.call.body;
			stream!.once('data', () => {
				stream!.pause();
			});
			await sleep();
			if (kind === 'answer') {
				finish('/unsafe/1');
			} else {
				const result = createUnknown(RefusalReason.AnswerTimeout);
				calls.get('/unsafe/1')!.end({result, attempts: 1, executor: undefined});
			}

			await until(() => caller.statuses.length === 1);
			caller.socket.write('x'.repeat(200_000));
			caller.send('/safe/2');
			await until(() => caller.isClosed);
			expect(caller.received).toMatch(/connection: close/iv);
			expect(started).toEqual(['/unsafe/1']);
		},
	);

	it('asks for a body only once the request may be forwarded', async () => {
		const caller = open();
		const head = 'HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n';
		caller.socket.write(`GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /unsafe/2 ${head}`);
		await until(() => started.length === 1);
		finish('/safe/1');
		await until(() => caller.statuses.length === 2);
		expect(caller.statuses).toEqual([200, 100]);
		caller.socket.write(`abPOST /none ${head}`);
		await until(() => started.length === 2);
		finish('/unsafe/2');
		await until(() => caller.isClosed);
		expect(caller.statuses).toEqual([200, 100, 200, 404]);
	});

	it.each([
		['http://a/safe/1', '/safe/1'],
		['HTTP://a:7600/safe/1?q=http://b/', '/safe/1?q=http://b/'],
		['http://a', '/'],
	])('takes a request for the absolute target %s', async (target, path) => {
		const caller = open();
		caller.send(target);
		await until(() => started.length === 1);
		expect(started).toEqual([path]);
		finish(path);
		await until(() => caller.statuses.length === 1);
		expect(caller.statuses).toEqual([200]);
	});

	it('takes heads as long as the configuration allows', async () => {
		const head = `GET /safe/1 HTTP/1.1\r\nHost: a\r\nX-Long: ${'x'.repeat(20_000)}\r\n\r\n`;
		const early = open();
		early.socket.write(head);
		await until(() => early.isClosed);
		expect(early.statuses).toEqual([431]);
		ingress.setMaxHeaderBytes(32_768);
		const later = open();
		later.socket.write(head);
		await until(() => started.length === 1);
		finish('/safe/1');
		await until(() => later.statuses.length === 1);
		expect(later.statuses).toEqual([200]);
	});

	it('refuses what its run refused, and keeps the connection', async () => {
		const caller = open();
		caller.send('/unsafe/1', '/unsafe/2');
		await until(() => started.length === 1);
		const result = createRefused(RefusalReason.Busy);
		calls.get('/unsafe/1')!.end({result, attempts: 1, executor: undefined});
		await until(() => started.length === 2);
		finish('/unsafe/2');
		await until(() => caller.statuses.length === 2);
		expect(caller.statuses).toEqual([503, 200]);
	});
});
