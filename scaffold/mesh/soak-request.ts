/** Requests of a soak, as their callers see them. */
import {Buffer} from 'node:buffer';
import type {MeshNode} from './mesh.js';

/** How a request ended at its caller. */
export enum SoakEnd {
	/** The whole answer has come. */
	Answered = 'answered',
	/** The connection was closed before the end of the answer. */
	Cut = 'cut',
	/** The caller closed the connection some time after its deadline. */
	GaveUp = 'gave up',
}

/** What the backend server is to do with a request; stands in its path. */
export interface SoakTask {
	/** Time for which it works, in ms. */
	readonly work: number;
	/** Length of the answer, in bytes. */
	readonly size: number;
	/** Whether the answer names its length. */
	readonly hasLength: boolean;
	/** Whether the second half of the answer is written later than the first. */
	readonly isHalved: boolean;
	/** Length of the request's body, in bytes. */
	readonly bodySize: number;
	/** First segment of the path of a nested call; empty for none. */
	readonly nested: string;
}

/** One attempt of a caller. */
export interface SoakRequest {
	readonly id: string;
	readonly node: MeshNode;
	/** How its caller sends. */
	readonly caller: string;
	readonly isSafe: boolean;
	readonly method: string;
	readonly path: string;
	readonly task: SoakTask;
	/** How long the caller waits, in ms. */
	readonly deadline: number;
	/** Least time-out of its route in all configurations, in ms. */
	readonly timeout: number;
	/** When the head was written completely; times are those of `performance.now()`. */
	headAt: number | undefined;
	/** When the last byte was handed to the operating system. */
	wholeAt: number | undefined;
	endedAt: number | undefined;
	end: SoakEnd | undefined;
	/** Status, as soon as the head of the answer has come. */
	status: number | undefined;
	/** Bytes of the answer that have come, with its head. */
	bytes: number;
	/** When the latest of them came. */
	progressAt: number | undefined;
	/** Whether a backend server signed the answer. */
	isSigned: boolean;
	/** What is wrong with a complete answer. */
	fault: string | undefined;
	/** Whether an earlier answer on the connection announced its close. */
	isCloseAnnounced: boolean;
	/** The request whose answer was due on the connection when this one was cut behind it. */
	behind: SoakRequest | undefined;
}

/**
 * @param id - id of a request.
 * @param size - length in bytes.
 * @returns the only bytes that are right for this request.
 */
export function bodyFor(id: string, size: number): Buffer {
	return Buffer.alloc(size, `${id};`, 'latin1');
}

/** @returns the last segment of the path of a request for a task. */
export function formatTask(task: SoakTask): string {
	const {work, size, hasLength, isHalved, bodySize, nested} = task;
	return [work, size, Number(hasLength), Number(isHalved), bodySize, nested].join('.');
}

/** @returns the task that stands in the path of a request. */
export function parseTask(path: string): SoakTask {
	const [work, size, hasLength, isHalved, bodySize, nested = ''] = path
		.slice(path.lastIndexOf('/') + 1)
		.split('.');
	return {
		work: Number(work),
		size: Number(size),
		hasLength: hasLength === '1',
		isHalved: isHalved === '1',
		bodySize: Number(bodySize),
		nested,
	};
}
