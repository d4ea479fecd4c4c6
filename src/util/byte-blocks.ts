import {concatBytes} from './bytes.js';

/** Size of the first block; most answers fit. */
const minBlockBytes = 1024;
/** Largest block that is allocated for small chunks. */
const maxBlockBytes = 16_384;

/**
 * Bytes that were received in chunks, held in blocks. Small chunks are copied: each of them keeps the whole buffer
 * that it was read into, and takes more memory itself than its bytes.
 */
export class ByteBlocks {
	private blocks: Uint8Array[] = [];
	private block = new Uint8Array();
	private used = 0;
	private bytes = 0;

	/** Number of bytes that are held. */
	get length(): number {
		return this.bytes;
	}

	/**
	 * @param chunk - bytes to add; a large chunk is held without a copy.
	 */
	append(chunk: Uint8Array): void {
		this.bytes += chunk.length;
		if (chunk.length >= maxBlockBytes && 2 * chunk.length >= chunk.buffer.byteLength) {
			this.closeBlock();
			this.blocks.push(chunk);
			return;
		}

		const copied = Math.min(chunk.length, this.block.length - this.used);
		this.copy(chunk.subarray(0, copied));
		if (copied < chunk.length) {
			this.closeBlock();
			const rest = chunk.subarray(copied);
			const size = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.bytes));
			this.block = new Uint8Array(Math.max(size, rest.length));
			this.copy(rest);
		}
	}

	/** @returns all bytes in blocks; none are held afterwards. */
	takeAll(): Uint8Array[] {
		this.closeBlock();
		const {blocks} = this;
		this.blocks = [];
		this.bytes = 0;
		return blocks;
	}

	/** @returns all bytes in one array; none are held afterwards. */
	joinAll(): Uint8Array {
		return concatBytes(this.takeAll());
	}

	private copy(chunk: Uint8Array): void {
		this.block.set(chunk, this.used);
		this.used += chunk.length;
	}

	private closeBlock(): void {
		if (this.used > 0) {
			this.blocks.push(this.block.subarray(0, this.used));
		}

		this.block = new Uint8Array();
		this.used = 0;
	}
}
