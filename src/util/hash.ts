import xxhash from 'xxhash-wasm';

const {h32, h64, h64Raw} = await xxhash();
const low48Bits = 0xff_ff_ff_ff_ff_ffn;

/**
 * @param text - what to hash.
 * @returns a whole number of 32 bits.
 */
export function hash32(text: string): number {
	return h32(text);
}

/**
 * @param text - what to hash.
 * @returns a whole number of 48 bits, which a double holds exactly.
 */
export function hash48(text: string): number {
	return Number(h64(text) % (low48Bits + 1n));
}

/**
 * @param bytes - what to hash.
 * @returns 16 hexadecimal digits.
 */
export function hashBytes(bytes: Uint8Array): string {
	return h64Raw(bytes).toString(16).padStart(16, '0');
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
