import process from 'node:process';
import type zlib from 'node:zlib';

/** Texts below this size gain little from compression. */
const minDeflatedLength = 4096;
/** Bound of the size of a text from a peer; a configuration of 10,000 routes has about 4 MB. */
const maxInflatedBytes = 64_000_000;
/** The fastest level: configurations repeat their field names, so that higher levels gain little. */
const fastestLevel = 1;
const maxCached = 4;

type Cached = {readonly text: string; readonly bytes: Uint8Array};

/** Compresses texts that several peers request, each once. */
export class TextDeflater {
	private readonly cached: Cached[] = [];

	/**
	 * @param text - a text.
	 * @returns the compressed text; undefined for a text that is too short.
	 */
	deflate(text: string): Uint8Array | undefined {
		if (text.length < minDeflatedLength) {
			return undefined;
		}

		const known = this.cached.find((cached) => cached.text === text);
		if (known) {
			return known.bytes;
		}

		const bytes = loadZlib().deflateRawSync(text, {level: fastestLevel});
		this.cached.push({text, bytes});
		if (this.cached.length > maxCached) {
			this.cached.shift();
		}

		return bytes;
	}
}

/**
 * @param bytes - a compressed text from a peer.
 * @returns the text.
 * @throws {RangeError} when the text is too large, and an error of the library when the bytes are malformed.
 */
export function inflateText(bytes: Uint8Array): string {
	return loadZlib().inflateRawSync(bytes, {maxOutputLength: maxInflatedBytes}).toString();
}

// Loaded at its first use, as most nodes never compress anything and it adds to the time of a start.
function loadZlib(): typeof zlib {
	return process.getBuiltinModule('node:zlib');
}
