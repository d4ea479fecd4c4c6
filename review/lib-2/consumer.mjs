/** Stand-in of a consumer: one request on a connection of its own, and what came back. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

const headEnd = '\r\n\r\n';

/**
 * Sends one request and waits for its end.
 * @param target - host and port of the node.
 * @param request - method, host, path, id, deadline in ms, body, and whether the connection may be kept.
 * @returns when it was sent, when the answer began and ended, its status and signature, and whether it was whole.
 */
export async function send(
	target,
	{method = 'GET', host, path, id, deadline = 2000, body = '', isKept = false},
) {
	const answer = {id, path, sentAt: performance.now(), status: 0, end: 'deadline', bytes: 0};
	const length = method === 'GET' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
	const head =
		`${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nX-Attempt-Id: ${id}\r\n` +
		`X-Request-Deadline: ${deadline}\r\n${isKept ? '' : 'Connection: close\r\n'}${length}\r\n`;
	return new Promise((resolve) => {
		let text = Buffer.alloc(0);
		let wanted;
		const socket = connect(target);
		const finish = (end) => {
			if (answer.endedAt === undefined) {
				answer.end = end;
				answer.endedAt = performance.now();
				clearTimeout(timer);
				socket.destroy();
				resolve(answer);
			}
		};

		const timer = setTimeout(finish, deadline, 'deadline');
		socket.once('connect', () => {
			socket.write(head + body);
		});
		socket.on('data', (chunk) => {
			answer.bytes += chunk.length;
			if (answer.status === 0) {
				text = Buffer.concat([text, chunk]);
				const end = text.indexOf(headEnd);
				if (end === -1) {
					return;
				}

				const lines = text.toString('latin1', 0, end);
				answer.startedAt = performance.now();
				answer.status = Number(lines.slice(9, 12));
				answer.signature = /^x-server-signature: (.*)$/imv.exec(lines)?.[1];
				const declared = /^content-length: (\d+)$/imv.exec(lines)?.[1];
				wanted = declared === undefined ? undefined : end + headEnd.length + Number(declared);
			}

			if (wanted !== undefined && answer.bytes >= wanted) {
				answer.body = text.toString('latin1', text.indexOf(headEnd) + headEnd.length);
				finish('whole');
			}
		});
		socket.once('end', () => {
			finish('closed');
		});
		socket.once('error', (err) => {
			finish(String(err.code));
		});
	});
}
