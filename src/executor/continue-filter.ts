import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {HeaderList} from '../call/index.js';

/** Longer heads are left to the HTTP library, which refuses them. */
const maxHeadBytes = 16_384;
const headEnd = '\r\n\r\n';
const interimStarts = ['HTTP/1.1 1', 'HTTP/1.0 1'] as const;
const continueLine = /^HTTP\/1\.[01] 100(?: |$)/v;

/**
 * Takes interim answers with status 100 out of what a connection receives, as undici closes the connection at one. RFC 9110
 * (section 15.2) asks for them to be skipped, although no request expects one.
 */
export class ContinueFilter {
	private isExpecting = false;
	/** Start of a head that may be an interim answer. */
	private held: Uint8Array = Buffer.alloc(0);
	private accept: ((headers: HeaderList) => boolean) | undefined;

	/**
	 * Called when a request is written, whose answer comes next.
	 * @param accept - returns whether an answer with status 100 and these headers may be skipped.
	 */
	expectAnswer(accept: (headers: HeaderList) => boolean): void {
		this.isExpecting = true;
		this.accept = accept;
		this.held = Buffer.alloc(0);
	}

	/**
	 * @param chunk - next bytes of the connection.
	 * @returns the bytes to go on with; none while the head of an interim answer is incomplete.
	 */
	strip(chunk: Uint8Array): Uint8Array {
		if (!this.isExpecting) {
			return chunk;
		}

		const passed: Uint8Array[] = [];
		let searched = this.held.length;
		let rest = searched === 0 ? view(chunk) : Buffer.concat([this.held, chunk]);
		while (mayBeInterim(rest)) {
			const end = rest.indexOf(headEnd, Math.max(0, searched - headEnd.length + 1), 'latin1');
			if (end === -1 && rest.length < maxHeadBytes) {
				this.held = rest;
				return Buffer.concat(passed);
			}

			if (end === -1) {
				break;
			}

			const next = end + headEnd.length;
			if (!this.isSkipped(rest.toString('latin1', 0, end))) {
				passed.push(rest.subarray(0, next));
			}

			rest = rest.subarray(next);
			searched = 0;
		}

		// Also after an empty rest: the next chunk begins another head.
		this.isExpecting = rest.length === 0;
		this.held = Buffer.alloc(0);
		return passed.length === 0 ? rest : Buffer.concat([...passed, rest]);
	}

	private isSkipped(head: string): boolean {
		const [line, ...fields] = head.split('\r\n');
		return continueLine.test(line!) && this.accept!(readFields(fields));
	}
}

/**
 * Lets the undici library read from a socket through a filter.
 * @param socket - a socket that nothing has been read from.
 * @param answers - the filter.
 */
export function stripReads(socket: Socket, answers: ContinueFilter): void {
	const read = socket.read.bind(socket) as (size?: number) => Uint8Array | undefined;
	const readNext = (): Uint8Array | undefined => {
		const chunk = read();
		const passed = chunk && answers.strip(chunk);
		return passed?.length === 0 ? readNext() : passed;
	};

	// The library reads without a size, the stream itself with one.
	socket.read = (size) => (size === undefined ? readNext() : read(size));
}

/** @returns whether bytes are the start of an interim answer, or of one as far as they go. */
function mayBeInterim(bytes: Uint8Array): boolean {
	const start = view(bytes).toString('latin1', 0, interimStarts[0].length);
	return start.length > 0 && interimStarts.some((text) => text.startsWith(start));
}

function view(bytes: Uint8Array) {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function readFields(lines: readonly string[]): HeaderList {
	return lines.flatMap((line) => {
		const colon = line.indexOf(':');
		return [line.slice(0, Math.max(0, colon)), line.slice(colon + 1).trim()];
	});
}
