import {hash} from 'node:crypto';

/** Built into Node.js, and needs no start of its own; nothing here must withstand an attack. */
const algorithm = 'sha1';
const bytes48 = 6;
const digits = 16;

/**
 * @param text - what to hash.
 * @returns a whole number of 32 bits.
 */
export function hash32(text: string): number {
	return hash(algorithm, text, 'buffer').readUInt32LE(0);
}

/**
 * @param text - what to hash.
 * @returns a whole number of 48 bits, which a double holds exactly.
 */
export function hash48(text: string): number {
	return hash(algorithm, text, 'buffer').readUIntLE(0, bytes48);
}

/**
 * @param bytes - what to hash.
 * @returns 16 hexadecimal digits.
 */
export function hashBytes(bytes: Uint8Array): string {
	return hash(algorithm, bytes, 'hex').slice(0, digits);
}

/**
 * Rendezvous hashing: each candidate gets a score for a topic and the highest win, so that a
 * candidate that leaves moves only its own topics.
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 * @param topic - what is shared out.
 * @param candidates - who may get it.
 * @param count - how many get it.
 * @returns the candidates with the highest scores.
 */
export function rendezvous(topic: string, candidates: readonly string[], count: number): string[] {
	const scored = candidates.map((candidate) => ({
		candidate,
		score: hash48(`${topic}\n${candidate}`),
	}));
	scored.sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1));
	return scored.slice(0, count).map((item) => item.candidate);
}
