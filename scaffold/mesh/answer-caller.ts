/** A caller that reads answers to the end of its connection and tells how each of them ended. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {parseAnswer, type ParsedAnswer} from './answer-parser.js';
import {formatAnswerTask, type AnswerTask} from './answer-task.js';
import {rawHead} from './raw-caller.js';
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
	const path = `/${isSafe ? 'safe' : 'unsafe'}/${formatAnswerTask(task)}`;
	return rawHead(method, path, id, {deadline, version, isLast: !isKept});
}

/** @returns the answers to the requests, in order; those behind an incomplete one are left out. */
function readAnswers(
	requests: readonly AnswerRequest[],
	bytes: Buffer,
	isEndedInOrder: boolean,
): ParsedAnswer[] {
	const answers: ParsedAnswer[] = [];
	let rest = bytes;
	for (const {method} of requests) {
		const answer = parseAnswer(rest, isEndedInOrder, method);
		if (answer) {
			answers.push(answer);
		}

		if (!answer?.body) {
			break;
		}

		rest = rest.subarray(answer.size);
	}

	return answers;
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
		const answers = readAnswers(requests, Buffer.concat(chunks), false);
		if (answers.length === requests.length && answers.at(-1)?.body) {
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
	const answers = readAnswers(requests, Buffer.concat(chunks), isEndedInOrder);
	for (const [i, req] of requests.entries()) {
		judge(req, answers[i], options.version);
	}
}

function judge(req: AnswerRequest, answer: ParsedAnswer | undefined, version: HttpVersion): void {
	req.status = answer?.status;
	if (!answer?.body) {
		req.end = AnswerEnd.Cut;
		return;
	}

	const {status, headers, body} = answer;
	const framing = headers.get('transfer-encoding') ?? headers.get('content-length') ?? 'none';
	req.seen = `${status} with ${body.length} of ${req.task.size} bytes, framing ${framing}`;
	if (status < 200 || status > 299) {
		req.end = AnswerEnd.Refused;
		return;
	}

	const expected = req.method === 'HEAD' ? Buffer.alloc(0) : bodyFor(req.id, req.task.size);
	const isOwn =
		!Number.isNaN(status) &&
		headers.get('x-attempt-id') === req.id &&
		headers.get('x-server-signature') === `signed-${req.id}`;
	const isReadable = version === HttpVersion.Http11 || !headers.has('transfer-encoding');
	req.end = isOwn && isReadable && body.equals(expected) ? AnswerEnd.Right : AnswerEnd.Wrong;
}
