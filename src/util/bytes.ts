/**
 * @param chunks - byte arrays to concatenate.
 * @returns the concatenated bytes; a single chunk is returned without a copy.
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
	let offset = 0;
	for (const chunk of chunks) {
		bytes.set(chunk, offset);
		offset += chunk.length;
	}

	return bytes;
}
