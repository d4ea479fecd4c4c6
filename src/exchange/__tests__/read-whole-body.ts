import {Buffer} from 'node:buffer';
import type {Body} from '../index.js';

/**
 * @param body - body of an answer.
 * @returns its bytes; undefined if it was cut.
 */
export async function readWholeBody({bytes, stream}: Body): Promise<Buffer | undefined> {
	if (!stream) {
		return Buffer.from(bytes!);
	}

	const chunks: Buffer[] = [];
	try {
		for await (const chunk of stream) {
			chunks.push(chunk as Buffer);
		}
	} catch {
		return undefined;
	}

	return Buffer.concat(chunks);
}
