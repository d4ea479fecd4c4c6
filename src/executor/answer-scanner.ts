import {Buffer} from 'node:buffer';
import type {HeaderList} from '../call/index.js';

/** Bytes with the native searches of Node.js. */
type Bytes = ReturnType<typeof view>;

const statusLineStart = 'HTTP/1.';
const statusLine = /HTTP\/1\.[01] \d{3}(?: |$)/v;
const headEnd = '\r\n\r\n';
/** Longer heads are not taken for one; the HTTP client refuses answers with such heads as well. */
const maxHeadBytes = 16_384;

/**
 * Finds the heads of other answers in the body of an answer. Its time is linear in the bytes, however they are cut: the end of
 * a head is searched for once in each byte, and a head is read only when its end has come.
 */
export class AnswerScanner {
	/** Bytes that may be the start of a head, from `start` to `end`; none of them if both are equal. */
	private held: Bytes | undefined;
	private start = 0;
	private end = 0;
	/** End of the held bytes in which no head ends. */
	private searched = 0;

	/**
	 * @param readId - reads the id of the request from the headers of an answer; undefined if they have none.
	 * @param carriedIds - ids of the requests that were sent on the connection.
	 */
	constructor(
		private readonly readId: (headers: HeaderList) => string | undefined,
		private readonly carriedIds: ReadonlySet<string>,
	) {}

	/** Whether the head of an answer may have begun and not ended. */
	get isWithinHead(): boolean {
		return this.start < this.end;
	}

	/**
	 * @param chunk - next bytes of the body.
	 * @returns id of the request to which an answer within the body belongs; undefined if none was found.
	 */
	scan(chunk: Uint8Array): string | undefined {
		for (let start = 0; start < chunk.length; start += maxHeadBytes) {
			const id = this.scanPart(chunk.subarray(start, start + maxHeadBytes));
			if (id !== undefined) {
				return id;
			}
		}

		return undefined;
	}

	private scanPart(part: Uint8Array): string | undefined {
		if (this.isWithinHead) {
			this.hold(part);
		} else {
			const start = findStart(view(part), 0);
			if (start === part.length) {
				return undefined;
			}

			this.hold(part.subarray(start));
		}

		const held = this.held!.subarray(0, this.end);
		for (;;) {
			const from = Math.max(this.start, this.searched - headEnd.length + 1);
			const end = held.indexOf(headEnd, from, 'latin1');
			if (end === -1) {
				this.searched = this.end;
				this.dropFront(held, part.length);
				return undefined;
			}

			const start = Math.max(this.start, end - maxHeadBytes + 1);
			const id = this.idWithin(held.toString('latin1', start, end));
			if (id !== undefined) {
				return id;
			}

			this.start = findStart(held, end + headEnd.length);
		}
	}

	// Less than the limit of a head is held before, so that there is room for as much again once it is moved to the front.
	private hold(part: Uint8Array): void {
		this.held ??= view(new Uint8Array(2 * maxHeadBytes));
		if (this.end + part.length > this.held.length) {
			this.held.copyWithin(0, this.start, this.end);
			this.searched = Math.max(0, this.searched - this.start);
			this.end -= this.start;
			this.start = 0;
		}

		this.held.set(part, this.end);
		this.end += part.length;
	}

	// Drops what is too long ago for a head that ends later, and what has turned out to be no start.
	private dropFront(held: Bytes, added: number): void {
		const length = this.end - this.start;
		if (length >= maxHeadBytes || length - added < statusLineStart.length) {
			this.start = findStart(held, Math.max(this.start, this.end - maxHeadBytes + 1));
		}
	}

	/** @returns id in one of the heads that end with a text. */
	private idWithin(text: string): string | undefined {
		if (!text.includes('\r\n')) {
			return undefined;
		}

		// Whether a head has begun whose id has not come.
		let isOpen = false;
		for (const line of text.split('\r\n')) {
			const id: string | undefined = isOpen ? this.idOf(line) : undefined;
			if (id !== undefined && this.carriedIds.has(id)) {
				return id;
			}

			isOpen = statusLine.test(line) || (isOpen && id === undefined);
		}

		return undefined;
	}

	private idOf(line: string): string | undefined {
		const colon = line.indexOf(':');
		return this.readId([line.slice(0, Math.max(0, colon)), line.slice(colon + 1).trim()]);
	}
}

/**
 * @returns index of the first bytes from an index on that are, or at the end may become, the start of a status line; the
 * length if there are none.
 */
function findStart(bytes: Bytes, from: number): number {
	const found = bytes.indexOf(statusLineStart, from, 'latin1');
	if (found !== -1) {
		return found;
	}

	const first = Math.max(from, bytes.length - statusLineStart.length + 1);
	const tail = bytes.toString('latin1', first);
	for (let i = 0; i < tail.length; i += 1) {
		if (statusLineStart.startsWith(tail.slice(i))) {
			return first + i;
		}
	}

	return bytes.length;
}

function view(bytes: Uint8Array) {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
