import {hash} from 'node:crypto';

/** Built into Node.js without initialization; these hashes need not be cryptographically secure. */
const algorithm = 'sha1';
const hash48Bytes = 6;
const hexDigits = 16;

/**
 * @param text - text to hash.
 * @returns an unsigned 32-bit integer.
 */
export function hash32(text: string): number {
	return hash(algorithm, text, 'buffer').readUInt32LE(0);
}

/**
 * @param text - text to hash.
 * @returns an unsigned 48-bit integer, which a double represents exactly.
 */
export function hash48(text: string): number {
	return hash(algorithm, text, 'buffer').readUIntLE(0, hash48Bytes);
}

/**
 * @param bytes - bytes to hash.
 * @returns 16 hexadecimal digits.
 */
export function hashBytes(bytes: Uint8Array): string {
	return hash(algorithm, bytes, 'hex').slice(0, hexDigits);
}

/**
 * Rendezvous hashing: each candidate has a score for each topic and the highest scores win, so that
 * only the topics of a candidate move when it leaves.
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 * @param topic - topic to assign.
 * @param candidates - ids of the candidates.
 * @param count - maximum number of candidates to select.
 * @returns the candidates with the highest scores, highest first.
 */
export function rendezvous(topic: string, candidates: readonly string[], count: number): string[] {
	const scored = candidates.map((candidate) => ({
		candidate,
		score: hash48(`${topic}\n${candidate}`),
	}));
	scored.sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1));
	return scored.slice(0, count).map((item) => item.candidate);
}
