/** Makes the backend server of a node answer as the path of a request says, and spoil answers. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseAnswerTask, Spoiling, TaskFraming, type AnswerTask} from './answer-task.js';
import type {MeshNode} from './mesh.js';
import type {SeenRequest} from './mesh-backend.js';
import {bodyFor} from './soak-request.js';

type Answering = {
	readonly req: SeenRequest;
	readonly res: ServerResponse;
	readonly socket: Socket;
	readonly task: AnswerTask;
	readonly head: Readonly<Record<string, string>>;
	readonly body: Buffer;
};

/** Makes the backend server of a node take part in a soak of answers. */
export function registerSpoiling(node: MeshNode): void {
	node.backend.behavior = (req, res) => {
		const {socket} = res.req;
		if (!req.path.includes('.')) {
			return false;
		}

		const task = parseAnswerTask(req.path);
		const body = bodyFor(req.id, task.size);
		const head = {
			'x-attempt-id': req.id,
			'x-instance-id': node.backend.identity.instance,
			'x-server-load': '0,0,4,100',
			'x-server-signature': `signed-${req.id}`,
			...(task.framing === TaskFraming.Length && {'content-length': String(body.length)}),
			...(task.framing === TaskFraming.Connection && {connection: 'close'}),
		};
		void answer({req, res, socket, task, head, body});
		return true;
	};
}

async function answer(answering: Answering): Promise<void> {
	const {req, res, socket, task, head, body} = answering;
	const {spoiling, cutAt} = task;
	res.useChunkedEncodingByDefault = task.framing === TaskFraming.Chunks;
	res.writeHead(200, head);
	if (req.method === 'HEAD') {
		res.end();
		return;
	}

	const isCut =
		spoiling === Spoiling.Reset || spoiling === Spoiling.Close || spoiling === Spoiling.Stop;
	await writePieces(answering, isCut ? body.subarray(0, cutAt) : body);
	switch (spoiling) {
		case Spoiling.Reset: {
			// Behind the last bytes, and often in the same read of the other side.
			socket.write('', () => {
				socket.resetAndDestroy();
			});
			break;
		}

		case Spoiling.Close: {
			socket.end();
			break;
		}

		case Spoiling.Stop: {
			break;
		}

		case Spoiling.Twice: {
			socket.write(rawAnswer(answering));
			res.end();
			break;
		}

		case Spoiling.Late: {
			res.end();
			await sleep(task.gap);
			if (!socket.destroyed) {
				socket.write(rawAnswer(answering));
			}

			break;
		}

		case Spoiling.None: {
			res.end();
			break;
		}
	}
}

async function writePieces({res, task}: Answering, bytes: Buffer): Promise<void> {
	res.flushHeaders();
	for (let i = 0; i < task.pieces && !res.destroyed; i += 1) {
		const from = Math.floor((bytes.length * i) / task.pieces);
		const to = Math.floor((bytes.length * (i + 1)) / task.pieces);
		if (to > from) {
			res.write(bytes.subarray(from, to));
		}

		if (task.spoiling !== Spoiling.Late && i + 1 < task.pieces) {
			await sleep(task.gap); // eslint-disable-line no-await-in-loop
		}
	}
}

function rawAnswer({head, body}: Answering): Buffer {
	const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}`);
	return Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n`), body]);
}
