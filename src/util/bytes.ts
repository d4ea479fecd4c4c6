/**
 * @param chunks - pieces of bytes.
 * @returns the pieces as one.
 */
export function concatBytes(chunks: readonly Uint8Array[]): Uint8Array {
	if (chunks.length === 1) {
		return chunks[0]!;
	}

	let length = 0;
	for (const chunk of chunks) {
		length += chunk.length;
	}

	const bytes = new Uint8Array(length);
	let at = 0;
	for (const chunk of chunks) {
		bytes.set(chunk, at);
		at += chunk.length;
	}

	return bytes;
}
