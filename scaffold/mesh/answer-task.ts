/** Answers of a soak of answers: how they are framed and spoiled. */
import type {Random} from '../../src/random/index.js';

/** What marks the end of a body. */
export enum TaskFraming {
	Length = 'length',
	Chunks = 'chunks',
	Connection = 'connection',
}

/** What a backend server does wrong. */
export enum Spoiling {
	None = 'none',
	/** It resets the connection within the body. */
	Reset = 'reset',
	/** It closes the connection in order within the body. */
	Close = 'close',
	/** It writes no more. */
	Stop = 'stop',
	/** It writes the answer twice. */
	Twice = 'twice',
	/** It writes the answer once more later, whatever is under way on the connection then. */
	Late = 'late',
}

/** What a backend server is to answer; stands in the path of the request. */
export interface AnswerTask {
	/** Length of the body, in bytes. */
	readonly size: number;
	readonly framing: TaskFraming;
	readonly spoiling: Spoiling;
	/** Bytes of the body that are written before it is spoiled. */
	readonly cutAt: number;
	/** Number of pieces in which the body is written. */
	readonly pieces: number;
	/** Time between two pieces, and before a second answer, in ms. */
	readonly gap: number;
}

/** Limits of what is drawn. */
export interface TaskLimits {
	readonly spoilings: readonly Spoiling[];
	/** Share of answers that are spoiled. */
	readonly share: number;
	/** Greatest body, in bytes. */
	readonly maxSize: number;
}

/** Bodies have about these lengths: nothing, small, the limit of buffered bodies with and without a window, large. */
const sizes = [0, 20, 1700, 20_000, 65_536, 131_072, 500_000] as const;
const sizeSpread = 4;
const framings = [
	TaskFraming.Connection,
	TaskFraming.Connection,
	TaskFraming.Connection,
	TaskFraming.Length,
	TaskFraming.Chunks,
] as const;
const maxLateness = 400;
const maxGap = 12;

/** @returns a random task. */
export function drawTask(random: Random, {spoilings, share, maxSize}: TaskLimits): AnswerTask {
	const fitting = sizes.filter((size) => size <= maxSize);
	const about = fitting[random.below(fitting.length)]!;
	const size = Math.max(0, about + random.below(2 * sizeSpread + 1) - sizeSpread);
	const drawn = framings[random.below(framings.length)]!;
	const isSpoiled = random.next() < share;
	const spoiling = isSpoiled ? spoilings[random.below(spoilings.length)]! : Spoiling.None;
	return {
		size,
		// A second answer to an earlier request needs a connection that is kept.
		framing: spoiling === Spoiling.Late ? TaskFraming.Length : drawn,
		spoiling: mayEndInOrder(drawn, spoiling) ? Spoiling.Reset : spoiling,
		cutAt: random.below(size + 1),
		pieces: 1 + random.below(4),
		gap: spoiling === Spoiling.Late ? random.below(maxLateness) : random.below(maxGap),
	};
}

// A body without a length that is closed in order is whole by the protocol.
function mayEndInOrder(framing: TaskFraming, spoiling: Spoiling): boolean {
	return framing === TaskFraming.Connection && spoiling === Spoiling.Close;
}

/** @returns the last segment of the path of a request for the task. */
export function formatAnswerTask(task: AnswerTask): string {
	const {size, framing, spoiling, cutAt, pieces, gap} = task;
	return [size, framing, spoiling, cutAt, pieces, gap].join('.');
}

/** @returns the task that stands in the path of a request. */
export function parseAnswerTask(path: string): AnswerTask {
	const [size, framing, spoiling, cutAt, pieces, gap] = path
		.slice(path.lastIndexOf('/') + 1)
		.split('.');
	return {
		size: Number(size),
		framing: framing as TaskFraming,
		spoiling: spoiling as Spoiling,
		cutAt: Number(cutAt),
		pieces: Number(pieces),
		gap: Number(gap),
	};
}
