import {Buffer} from 'node:buffer';
import type {HeaderList} from '../call/index.js';

const statusLineStart = 'HTTP/1.';
const maxPartialLength = statusLineStart.length - 1;
const statusLine = /^HTTP\/1\.[01] \d{3}(?: |$)/v;
const headEnd = '\r\n\r\n';
/** Longer heads are not taken for one; the HTTP client refuses answers with such heads as well. */
const maxHeadBytes = 16_384;

/** Finds the heads of other answers in the body of an answer. */
export class AnswerScanner {
	/** End of what was read, as long as a head may have begun in it. */
	private rest = new Uint8Array();

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
		return this.rest.length > 0;
	}

	/**
	 * @param chunk - next bytes of the body.
	 * @returns id of the request to which an answer within the body belongs; undefined if none was found.
	 */
	scan(chunk: Uint8Array): string | undefined {
		const read = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
		const bytes = this.rest.length === 0 ? read : Buffer.concat([this.rest, read]);
		let start = bytes.indexOf(statusLineStart);
		while (start !== -1) {
			const end = bytes.indexOf(headEnd, start);
			const length = (end === -1 ? bytes.length : end) - start;
			if (end === -1 && length < maxHeadBytes) {
				this.rest = new Uint8Array(bytes.subarray(start));
				return undefined;
			}

			const id =
				length < maxHeadBytes ? this.idOf(bytes.toString('latin1', start, end)) : undefined;
			if (id !== undefined) {
				return id;
			}

			start = bytes.indexOf(statusLineStart, start + 1);
		}

		this.rest = partialStart(
			bytes.toString('latin1', Math.max(0, bytes.length - maxPartialLength)),
		);
		return undefined;
	}

	private idOf(head: string): string | undefined {
		const [first = '', ...lines] = head.split('\r\n');
		if (!statusLine.test(first)) {
			return undefined;
		}

		const headers = lines.flatMap((line) => {
			const colon = line.indexOf(':');
			return [line.slice(0, Math.max(0, colon)), line.slice(colon + 1).trim()];
		});
		const id = this.readId(headers);
		return id !== undefined && this.carriedIds.has(id) ? id : undefined;
	}
}

/** @returns the last bytes if they may be the start of a status line. */
function partialStart(text: string): Uint8Array<ArrayBuffer> {
	for (let start = 0; start < text.length; start += 1) {
		const part = text.slice(start);
		if (statusLineStart.startsWith(part)) {
			return new Uint8Array(Buffer.from(part, 'latin1'));
		}
	}

	return new Uint8Array();
}
