import {Readable} from 'node:stream';
import {maxInlineBodyBytes} from '../exchange/index.js';
import {ByteBlocks} from '../util/index.js';

/** Body of an answer that is read while it arrives. What its reader has not taken is held in blocks. */
export class AnswerStream extends Readable {
	private readonly held = new ByteBlocks();
	private isComplete = false;
	private isEndPushed = false;

	/**
	 * @param onDrained - called when the reader takes on.
	 */
	constructor(private readonly onDrained: () => void) {
		super({highWaterMark: maxInlineBodyBytes});
		this.once('close', () => {
			this.held.takeAll();
		});
	}

	/**
	 * @param chunk - next bytes of the body.
	 * @returns whether more may be written before the reader takes on.
	 */
	write(chunk: Uint8Array): boolean {
		this.held.append(chunk);
		this.flush();
		return this.held.length < maxInlineBodyBytes;
	}

	/** Ends the body behind what was written. */
	complete(): void {
		this.isComplete = true;
		this.flush();
	}

	override read(size?: number): unknown {
		const chunk: unknown = super.read(size);
		this.flush();
		return chunk;
	}

	override _read(): void {
		this.flush();
	}

	// Only into an empty buffer of the stream, which would hold each small chunk by itself.
	private flush(): void {
		if (this.isEndPushed || this.destroyed) {
			return;
		}

		if (this.held.length > 0 && this.readableLength === 0) {
			for (const block of this.held.takeAll()) {
				this.push(block);
			}

			this.onDrained();
		}

		// While bytes are left, the end would make the reader take them before the `read` that is under way returns.
		if (this.isComplete && this.held.length === 0 && this.readableLength === 0) {
			this.isEndPushed = true;
			this.push(null);
		}
	}
}
