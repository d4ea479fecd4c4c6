/** A caller that reads answers to the end of its connection and tells how each of them ended. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {parseAnswer} from './answer-parser.js';
import {formatAnswerTask, type AnswerTask} from './answer-task.js';
import {bodyFor} from './soak-request.js';

/** How an answer ended at its caller. */
export enum AnswerEnd {
	/** A success, byte for byte. */
	Right = 'right',
	/** It looks like a whole success and is not, or it belongs to another request. */
	Wrong = 'wrong',
	/** It is visibly incomplete, or there is none. */
	Cut = 'cut',
	/** Another status than a success. */
	Refused = 'refused',
}

export interface AnswerRequest {
	readonly id: string;
	readonly method: string;
	readonly isSafe: boolean;
	readonly task: AnswerTask;
	/** How long the caller waits, in ms. */
	readonly deadline: number;
	end: AnswerEnd | undefined;
	status: number | undefined;
	/** What was received, for a report. */
	seen: string | undefined;
}

/** Version of HTTP that a caller speaks. */
export enum HttpVersion {
	Http10 = '1.0',
	Http11 = '1.1',
}

export interface AnswerConnection {
	readonly address: string;
	readonly port: number;
	readonly version: HttpVersion;
	/** Whether it asks the node to keep the connection open. */
	readonly isKept: boolean;
}

/** How long after its deadline a caller waits for the end of its connection, in ms. */
const patience = 1500;

function formatHead(req: AnswerRequest, {version, isKept}: AnswerConnection): string {
	const {id, method, isSafe, task, deadline} = req;
	const lines = [
		`${method} /${isSafe ? 'safe' : 'unsafe'}/${formatAnswerTask(task)} HTTP/${version}`,
		'Host: a.example',
		`X-Attempt-Id: ${id}`,
		`X-Request-Deadline: ${deadline}`,
		...(isKept ? [] : ['Connection: close']),
		...(method === 'POST' ? ['Content-Length: 0'] : []),
	];
	return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Sends requests on one connection, all at once, and notes how each of them ends. */
export async function sendRequests(
	options: AnswerConnection,
	requests: readonly AnswerRequest[],
): Promise<void> {
	const {address, port} = options;
	const socket = connect({host: address, port, noDelay: true});
	const chunks: Buffer[] = [];
	let isEndedInOrder = false;
	socket.on('data', (chunk) => {
		chunks.push(chunk);
		if (countWhole(requests, Buffer.concat(chunks)) === requests.length) {
			socket.destroy();
		}
	});
	socket.on('error', () => undefined);
	socket.on('end', () => {
		// A socket that was reset has no peer any more.
		isEndedInOrder = socket.remoteAddress !== undefined;
	});
	socket.write(requests.map((req) => formatHead(req, options)).join(''));
	const limit = Math.max(...requests.map(({deadline}) => deadline)) + patience;
	socket.setTimeout(limit, () => {
		socket.destroy();
	});
	await new Promise((resolve) => {
		socket.once('close', resolve);
	});
	judge(requests, Buffer.concat(chunks), isEndedInOrder, options.version);
}

function countWhole(requests: readonly AnswerRequest[], bytes: Buffer): number {
	let rest = bytes;
	for (const [i, {method}] of requests.entries()) {
		const answer = parseAnswer(rest, false, method);
		if (!answer?.body) {
			return i;
		}

		rest = rest.subarray(answer.size);
	}

	return requests.length;
}

function judge(
	requests: readonly AnswerRequest[],
	bytes: Buffer,
	isEndedInOrder: boolean,
	version: HttpVersion,
): void {
	let rest = bytes;
	for (const req of requests) {
		const answer = parseAnswer(rest, isEndedInOrder, req.method);
		req.status = answer?.status;
		if (!answer?.body) {
			req.end = AnswerEnd.Cut;
			rest = Buffer.alloc(0);
			continue;
		}

		rest = rest.subarray(answer.size);
		const {status, headers, body} = answer;
		const framing = headers.get('transfer-encoding') ?? headers.get('content-length') ?? 'none';
		req.seen = `${status} with ${body.length} of ${req.task.size} bytes, framing ${framing}`;
		if (status < 200 || status > 299) {
			req.end = Number.isNaN(status) ? AnswerEnd.Wrong : AnswerEnd.Refused;
			continue;
		}

		const expected = req.method === 'HEAD' ? Buffer.alloc(0) : bodyFor(req.id, req.task.size);
		const isOwn =
			headers.get('x-attempt-id') === req.id &&
			headers.get('x-server-signature') === `signed-${req.id}`;
		const isReadable = version === HttpVersion.Http11 || !headers.has('transfer-encoding');
		req.end = isOwn && isReadable && body.equals(expected) ? AnswerEnd.Right : AnswerEnd.Wrong;
	}
}
