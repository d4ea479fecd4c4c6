import {setImmediate as nextTurn} from 'node:timers/promises';
import {Readable, Writable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {AttemptState, Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {
	AttemptEnd,
	BodyLostError,
	createStreamBody,
	createUnknown,
	type Attempt,
	type AttemptResult,
	type Body,
} from '../../../exchange/index.js';
import {createTestAttempt} from '../../../exchange/__tests__/test-attempt.js';
import {createRandom, type Random} from '../../../random/index.js';
import {withResolvers} from '../../../util/index.js';
import {OpenTarget, PeerSession} from '../../index.js';
import {BodyReceiver} from '../../body-receiver.js';
import {FrameType, type Frame} from '../../frame.js';
import type {Link} from '../../link.js';
import {windowBytes} from '../../link-limits.js';

const kib = 1024;
/** Turns of the event loop without any progress after which a transfer counts as stalled. */
const stallTurns = 400;
/** Turns of the event loop within which the frames on their way arrive. */
const maxSettleTurns = 200;
/** Longest pause of a reader or a source, in turns of the event loop. */
const maxPause = 12;
const trials = 150;

const edges = [16, 32, 48, 64, 80, 96, 112, 128, 192].map((size) => size * kib);

function pick<T>(items: readonly T[], random: Random): T {
	return items[Math.floor(random.next() * items.length)]!;
}

function pickSize(random: Random): number {
	const kind = random.next();
	if (kind < 0.6) {
		return Math.max(0, pick(edges, random) + pick([-2, -1, 0, 0, 1, 2], random));
	}

	if (kind < 0.97) {
		return Math.floor(random.next() * 300_000);
	}

	return Math.floor(random.next() * 10_000_000);
}

function pickChunkSize(random: Random, size: number): number {
	return size > 1_000_000 ? 65_536 : pick([500, 7000, 16_384, 32_768, 65_536, 1_000_000], random);
}

/** What may happen to a body on its way. */
enum Cut {
	None = 'none',
	Source = 'source',
	Reader = 'reader',
	Link = 'link',
}

enum ReaderKind {
	Pipe = 'pipe',
	Flowing = 'flowing',
	Readable = 'readable',
	Iterator = 'iterator',
}

/** Joins two sessions; frames arrive in order, some turns of the event loop later. */
class Wire {
	/** Bytes of Data frames on their way, by sending side and stream. */
	readonly inTransit = new Map<string, number>();
	progress = 0;
	isCut = false;
	private readonly queue: Array<() => void> = [];

	constructor(private readonly random: Random) {}

	link(side: string, receive: (frame: Frame) => boolean): Link {
		let next = side === 'a' ? 0 : 1;
		const isOwnStream = (stream: number) => stream % 2 === (side === 'a' ? 0 : 1);
		const link = {
			lastReceived: 0,
			lastSent: 0,
			isOwnStream,
			openStream() {
				next += 2;
				return next - 2;
			},
			send: (frame: Frame) => {
				if (this.isCut) {
					return;
				}

				const key = 'stream' in frame ? `${side}${frame.stream}` : '';
				const bytes = frame.type === FrameType.Data ? frame.bytes.length : 0;
				this.count(key, bytes);
				this.queue.push(() => {
					this.count(key, -bytes);
					expect(receive(frame)).toBe(true);
				});
			},
		};
		return link as unknown as Link;
	}

	/** Delivers some of the frames. */
	deliver(): void {
		const count = Math.ceil(this.random.next() * 6);
		for (const run of this.queue.splice(0, count)) {
			this.progress += 1;
			run();
		}
	}

	cut(): void {
		this.isCut = true;
		this.queue.length = 0;
		this.inTransit.clear();
	}

	private count(key: string, bytes: number): void {
		this.inTransit.set(key, (this.inTransit.get(key) ?? 0) + bytes);
	}
}

class PlaySession {
	readonly wire: Wire;
	readonly near: PeerSession;
	readonly far: PeerSession;

	constructor(random: Random, run: (attempt: Attempt) => Promise<AttemptResult>) {
		const wire = new Wire(random);
		const clock = new ManualClock(1000);
		const create = (side: string, peer: () => PeerSession) => {
			const link = wire.link(side, (frame) => peer().receive(frame));
			return new PeerSession(link, side, side === 'a' ? 'b' : 'a', {
				now: () => clock.now(),
				after: (delay, call) => clock.after(delay, call),
				staleness: () => 0,
				runnerFor: () => ({run}),
				queryAndFence: () => AttemptState.Fenced,
				getContent: () => ({content: undefined, delta: undefined}),
				deflate: () => undefined,
				acceptHandover: () => undefined,
				peerLeaving: () => undefined,
				peerLoadReported: () => undefined,
				lateFrame: () => undefined,
				callStarted: () => undefined,
				resolveLostAttempt: async () => createUnknown(RefusalReason.ExecutorLost),
				fenceSilentAttempt: async () => false,
			});
		};

		this.wire = wire;
		this.near = create('a', () => this.far);
		this.far = create('b', () => this.near);
	}

	async send(body: Body): Promise<AttemptResult> {
		const deadline = new Deadline(1_000_000);
		const head = {method: 'PUT'};
		const attempt = createTestAttempt({head, deadline, objective: deadline, body});
		return this.near.run(attempt, OpenTarget.Executor);
	}

	cut(): void {
		this.wire.cut();
		this.near.close();
		this.far.close();
	}
}

async function pause(turns: number): Promise<void> {
	for (let i = 0; i < turns; i += 1) {
		await nextTurn();
	}
}

interface SourcePlan {
	readonly size: number;
	/** Bytes after which the source fails. */
	readonly cutAt: number;
	/** Resolves when the body may end. */
	readonly mayEnd?: Promise<void>;
}

const pattern = Uint8Array.from({length: 1_100_000}, (_, i) => i % 251);

/** A body whose bytes tell their place, so that lost or swapped chunks are seen. */
function createSource(
	{size, cutAt, mayEnd}: SourcePlan,
	random: Random,
	onPush: () => void,
): Readable {
	const chunkSize = pickChunkSize(random, size);
	const slowness = pick([0, 0, 2, maxPause], random);
	let at = 0;
	return new Readable({
		highWaterMark: pick([1, 16_384, 65_536], random),
		async read() {
			await pause(Math.floor(random.next() * slowness));
			onPush();
			if (at >= cutAt) {
				this.destroy(new Error('cut'));
			} else if (at >= size) {
				await mayEnd;
				this.push(null);
			} else {
				const length = Math.min(chunkSize, size - at, cutAt - at);
				const from = at;
				at += length;
				this.push(pattern.subarray(from % 251, (from % 251) + length));
			}
		},
	});
}

function unreadBytesOf(stream: Readable | undefined): number {
	return stream instanceof BodyReceiver ? stream.unreadBytes : (stream?.readableLength ?? 0);
}

/** What a reader has seen of a body. */
interface Reading {
	bytes: number;
	isWhole: boolean;
	isCut: boolean;
	isDamaged: boolean;
}

/** Reads a body in one of the ways in which the node reads it, with pauses. */
function startReader(stream: Readable, random: Random, cutAt: number, onRead: () => void): Reading {
	const reading: Reading = {bytes: 0, isWhole: false, isCut: false, isDamaged: false};
	const slowness = pick([0, 0, 2, maxPause], random);
	const take = (chunk: Uint8Array) => {
		onRead();
		reading.isDamaged ||= chunk[0] !== reading.bytes % 251;
		reading.bytes += chunk.length;
		if (reading.bytes >= cutAt) {
			stream.destroy();
		}
	};

	const rest = async () => pause(Math.floor(random.next() * slowness));
	const way = pick(Object.values(ReaderKind), random);
	stream.once('end', () => {
		reading.isWhole = way !== ReaderKind.Pipe;
	});
	stream.once('error', () => undefined);
	stream.once('close', () => {
		reading.isCut = !stream.readableEnded;
	});
	const start = async () => {
		await pause(Math.floor(random.next() * slowness * 2));
		if (stream.closed) {
			return;
		}

		switch (way) {
			case ReaderKind.Pipe: {
				const sink = new Writable({
					highWaterMark: pick([1, 16_384, 100_000], random),
					async write(chunk: Uint8Array, _encoding, done) {
						take(chunk);
						await rest();
						done();
					},
				});
				sink.once('finish', () => {
					reading.isWhole = true;
				});
				stream.pipe(sink);
				break;
			}

			case ReaderKind.Flowing: {
				stream.on('data', (chunk: Uint8Array) => {
					take(chunk);
					if (random.next() < 0.3) {
						stream.pause();
						void rest().then(() => stream.resume());
					}
				});
				break;
			}

			case ReaderKind.Readable: {
				stream.on('readable', () => {
					for (;;) {
						const size = Math.min(stream.readableLength, pick([1000, 16_384, 65_536], random));
						const chunk: unknown = size > 0 ? stream.read(size) : stream.read();
						if (!(chunk instanceof Uint8Array)) {
							return;
						}

						take(chunk);
					}
				});
				break;
			}

			case ReaderKind.Iterator: {
				try {
					for await (const chunk of stream) {
						take(chunk as Uint8Array);
						await rest();
					}
				} catch {
					// A cut body.
				}

				break;
			}
		}
	};

	void start();
	return reading;
}

interface Trial {
	readonly request: Reading | undefined;
	readonly answer: Reading | undefined;
	readonly isStalled: boolean;
	/** Most bytes of one body that were on their way or unread at once. */
	readonly maxUnread: number;
	/** Calls that a session still counts afterwards. */
	readonly openCalls: number;
}

async function play(
	seed: number,
): Promise<{text: string; sizes: number[]; cut: Cut; trial: Trial}> {
	const random = createRandom(seed);
	const sizes = [pickSize(random), pickSize(random)];
	const cut = random.next() < 0.7 ? Cut.None : pick(Object.values(Cut), random);
	const cutBody = pick([0, 1], random);
	const cutAt = Math.floor(random.next() * (sizes[cutBody]! + 1));
	const cutOf = (kind: Cut, body: number) =>
		cut === kind && cutBody === body ? cutAt : Number.POSITIVE_INFINITY;
	let progress = 0;
	const onProgress = () => {
		progress += 1;
	};

	let request: Reading | undefined;
	let answer: Reading | undefined;
	let requestStream: Readable | undefined;
	let answerStream: Readable | undefined;
	const session = new PlaySession(random, async (attempt) => {
		const stream = attempt.body.stream!;
		requestStream = stream;
		request = startReader(stream, random, cutOf(Cut.Reader, 0), onProgress);
		const isRequestClosed = new Promise<void>((resolve) => {
			stream.once('close', resolve);
		});
		// Like the HTTP client, which aborts a request with its call and when its answer is complete.
		attempt.cancellation.registerListener(() => stream.destroy());
		if (random.next() < 0.5) {
			await isRequestClosed;
		}

		const plan = {size: sizes[1]!, cutAt: cutOf(Cut.Source, 1), mayEnd: isRequestClosed};
		const source = createSource(plan, random, onProgress);
		source.once('error', () => undefined);
		source.once('close', () => stream.destroy());
		return {
			end: AttemptEnd.Answered,
			status: 200,
			headers: [],
			load: undefined,
			body: createStreamBody(source),
		};
	});
	const {wire, near, far} = session;
	const source = createSource({size: sizes[0]!, cutAt: cutOf(Cut.Source, 0)}, random, onProgress);
	source.on('error', () => undefined);
	let isAnswered = false;
	let isRefused = false;
	void session.send(createStreamBody(source)).then((result) => {
		isAnswered = true;
		if (result.end === AttemptEnd.Answered) {
			answerStream = result.body.stream!;
			answer = startReader(answerStream, random, cutOf(Cut.Reader, 1), onProgress);
		} else {
			isRefused = true;
		}
	});
	let maxUnread = 0;
	let idleTurns = 0;
	const isEnded = (reading: Reading | undefined) =>
		reading !== undefined && (reading.isWhole || reading.isCut);
	const isDone = () =>
		isAnswered && (request === undefined || isEnded(request)) && (isRefused || isEnded(answer));
	while (idleTurns < stallTurns && !isDone()) {
		const before = progress + wire.progress;
		wire.deliver();
		if (
			cut === Cut.Link &&
			!wire.isCut &&
			(cutBody === 0 ? request : answer) &&
			random.next() < 0.02
		) {
			session.cut();
		}

		await nextTurn();
		const unread = [
			(wire.inTransit.get('a0') ?? 0) + unreadBytesOf(requestStream),
			(wire.inTransit.get('b0') ?? 0) + unreadBytesOf(answerStream),
		];
		maxUnread = Math.max(maxUnread, ...unread);

		idleTurns = progress + wire.progress === before ? idleTurns + 1 : 0;
	}

	// Frames that end the streams may still be on their way.
	for (let i = 0; i < maxSettleTurns && near.callsInFlight + far.callsInFlight > 0; i += 1) {
		wire.deliver();
		await nextTurn();
	}

	const openCalls = near.callsInFlight + far.callsInFlight;
	const text = `seed ${seed}, sizes ${sizes.join(' ')}, cut ${cut} of ${cutBody} at ${cutAt}`;
	return {text, sizes, cut, trial: {request, answer, isStalled: !isDone(), maxUnread, openCalls}};
}

describe('a streamed body', () => {
	// Guards against credit that is granted only when the stream class happens to ask for data.
	it.each([20_261_205])(
		'arrives whole or visibly cut at any speed, with at most one window unread (seed %i)',
		async (seed) => {
			for (let i = 0; i < trials; i += 1) {
				const {text, sizes, cut, trial} = await play(seed + i);
				const {request, answer, isStalled, maxUnread, openCalls} = trial;
				expect(isStalled, `stalled: ${text}`).toBe(false);
				expect(openCalls, `open: ${text}`).toBe(0);
				expect(maxUnread, `unread: ${text}`).toBeLessThanOrEqual(windowBytes);
				for (const [body, reading] of [request, answer].entries()) {
					expect(reading?.isDamaged ?? false, `damaged: ${text}`).toBe(false);
					if (cut === Cut.None) {
						expect(reading?.isWhole, `not whole: ${text}`).toBe(true);
					}

					if (reading?.isWhole) {
						expect(reading.bytes, text).toBe(sizes[body]);
					}
				}
			}
		},
	);

	// Guards against waiting for the end of a source that ended before anyone listened.
	it('is visibly cut when its source has closed before it is sent', async () => {
		const createClosed = async () => {
			const source = new Readable({read: () => undefined});
			source.on('error', () => undefined);
			source.destroy(new Error('cut'));
			await pause(2);
			return createStreamBody(source);
		};

		const random = createRandom(1);
		const closedAnswer = await createClosed();
		let request: Reading | undefined;
		const session = new PlaySession(random, async (attempt) => {
			request = startReader(
				attempt.body.stream!,
				random,
				Number.POSITIVE_INFINITY,
				() => undefined,
			);
			await new Promise((resolve) => {
				attempt.body.stream!.once('close', resolve);
			});
			return {
				end: AttemptEnd.Answered,
				status: 200,
				headers: [],
				load: undefined,
				body: closedAnswer,
			};
		});
		let answer: Reading | undefined;
		void session.send(await createClosed()).then((result) => {
			if (result.end === AttemptEnd.Answered) {
				const {stream} = result.body;
				answer = startReader(stream!, random, Number.POSITIVE_INFINITY, () => undefined);
			}
		});
		for (let i = 0; i < maxSettleTurns; i += 1) {
			session.wire.deliver();
			await nextTurn();
		}

		expect(request).toMatchObject({isCut: true, isWhole: false});
		expect(answer).toMatchObject({isCut: true, isWhole: false});
		expect(session.near.callsInFlight + session.far.callsInFlight).toBe(0);
	});

	// Guards against an error event without a listener, which ends the process.
	it('is cut without harm when its loss arrives together with its head', async () => {
		const session = new PlaySession(
			createRandom(1),
			async () => withResolvers<AttemptResult>().promise,
		);
		const result = session.send(createStreamBody(Readable.from([])));
		const stream = 0;
		session.near.receive({
			type: FrameType.Answer,
			stream,
			status: 200,
			headers: [],
			load: {inFlight: 0, queued: 0, slots: 1, serviceTime: 0, failureShare: 0, slowdown: 1},
			body: undefined,
			trailers: [],
			isDelimited: true,
		});
		session.near.receive({type: FrameType.Failed, stream, reason: RefusalReason.BackendLost});
		const answered = await result;
		expect(answered.end === AttemptEnd.Answered && answered.body.stream?.errored).toBeInstanceOf(
			BodyLostError,
		);
	});
});
