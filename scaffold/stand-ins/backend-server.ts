/** Stand-in for a backend server: answers after a drawn time, and keeps books of what it ran. */
import {openSync, writeSync} from 'node:fs';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createRandom} from '../../src/random/index.js';

interface Behaviour {
	/** Mean time for a call, in ms. */
	serviceTime: number;
	/** Factor on the time, for a straggler. */
	slowness: number;
	/** Answers 500 at once. */
	isFailingFast: boolean;
	/** Announces that it drains. */
	isDraining: boolean;
	/** Stops announcing itself. */
	isSilent: boolean;
}

const {values} = parseArgs({
	options: {
		address: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '8000'},
		node: {type: 'string', default: ''},
		service: {type: 'string', default: 'service'},
		slots: {type: 'string', default: '10'},
		connections: {type: 'string', default: '200'},
		seed: {type: 'string', default: '1'},
		'service-time': {type: 'string', default: '10'},
		book: {type: 'string', default: '/dev/null'},
	},
});

const behaviour: Behaviour = {
	serviceTime: Number(values['service-time']),
	slowness: 1,
	isFailingFast: false,
	isDraining: false,
	isSilent: false,
};
const instance = `${process.pid}-${Date.now()}`;
const random = createRandom(Number(values.seed));
const announcePeriod = 1000;
const book = openSync(values.book, 'a');
let running = 0;

function drawServiceTime(): number {
	// Between half and one and a half of the mean, with a tail in one of 50 calls.
	const tail = random.below(50) === 0 ? 3 : 1;
	return behaviour.serviceTime * behaviour.slowness * (0.5 + random.next()) * tail;
}

async function announce(): Promise<void> {
	if (behaviour.isSilent || values.node === '') {
		return;
	}

	try {
		await fetch(`http://${values.node}/v1/backend`, {
			method: 'POST',
			body: JSON.stringify({
				service: values.service,
				address: values.address,
				port: Number(values.port),
				slots: Number(values.slots),
				connections: Number(values.connections),
				instance,
				state: behaviour.isDraining ? 'draining' : 'serving',
				healthPath: '/stand-in/health',
			}),
			signal: AbortSignal.timeout(announcePeriod),
		});
	} catch {
		// The node may not be there yet; the next announcement tells it.
	}
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
	const chunks: Buffer[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
}

function answerControl(url: URL, body: string, res: ServerResponse): void {
	switch (url.pathname) {
		case '/stand-in/behaviour': {
			Object.assign(behaviour, JSON.parse(body) as Partial<Behaviour>);
			void announce();
			res.end('{}');
			break;
		}

		case '/stand-in/running': {
			res.end(String(running));
			break;
		}

		default: {
			res.end('ok');
		}
	}
}

/** The book is a file, so that it outlives a crash. */
function note(callId: string): void {
	const entry = {instance, callId, startedAt: Date.now(), running};
	writeSync(book, `${JSON.stringify(entry)}\n`);
}

function runCall(req: IncomingMessage, res: ServerResponse, url: URL, body: Buffer): void {
	const callId = String(req.headers['x-call-id'] ?? '');
	let isDone = false;
	running += 1;
	note(callId);
	if (url.pathname === '/crash') {
		process.exit(9);
	}

	const time = Number(url.searchParams.get('ms') ?? drawServiceTime());
	const finish = () => {
		running -= 1;
		isDone = true;
		answer(res, url, callId, body);
	};

	if (behaviour.isFailingFast) {
		running -= 1;
		res.writeHead(500);
		res.end('failing');
		return;
	}

	const timer = setTimeout(finish, time);
	res.once('close', () => {
		if (!isDone) {
			clearTimeout(timer);
			running -= 1;
		}
	});
}

function answer(res: ServerResponse, url: URL, callId: string, body: Buffer): void {
	const size = Number(url.searchParams.get('size') ?? 0);
	const isChunked = url.searchParams.has('chunked');
	const text = JSON.stringify({callId, service: values.service, received: body.length});
	const payload = Buffer.concat([Buffer.from(text), Buffer.alloc(size, 'x')]);
	res.setHeader('content-type', 'application/json');
	res.setHeader('x-backend', `${values.address}:${values.port}`);
	const breakAfter = url.searchParams.get('break-after');
	if (breakAfter !== null) {
		// Promises the whole answer and dies in the middle of it.
		res.setHeader('content-length', payload.length);
		res.write(payload.subarray(0, Number(breakAfter)), () => res.destroy());
	} else if (isChunked) {
		res.setHeader('trailer', 'x-check');
		res.write(payload);
		res.addTrailers({'x-check': String(payload.length)});
		res.end();
	} else {
		res.setHeader('content-length', payload.length);
		res.end(payload);
	}
}

const server = createServer((req, res) => {
	const url = new URL(req.url ?? '/', 'http://backend');
	void readBody(req).then(
		(body) => {
			if (url.pathname.startsWith('/stand-in/')) {
				answerControl(url, body.toString(), res);
			} else {
				runCall(req, res, url, body);
			}
		},
		() => {
			res.destroy();
		},
	);
});
server.keepAliveTimeout = 30_000;
server.listen(Number(values.port), values.address, () => {
	process.stdout.write('ready\n');
	void announce();
	setInterval(() => {
		void announce();
	}, announcePeriod);
});
process.on('SIGTERM', () => {
	process.exit(0);
});
