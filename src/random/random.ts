import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded source of random numbers, so that a run can be reproduced. */
export interface Random {
	/** @returns a number from 0 (included) to 1 (excluded). */
	next(): number;
	/**
	 * @param bound - the excluded upper bound; at least 1.
	 * @returns an integer from 0 to `bound - 1`.
	 */
	below(bound: number): number;
}

/** Number of distinct values of `next`. */
const resolution = 2 ** 30;

/**
 * @param seed - any integer.
 * @returns a generator that returns the same sequence for the same seed.
 */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return {
		next: () => uniformInt(generator, 0, resolution - 1) / resolution,
		below: (bound) => uniformInt(generator, 0, bound - 1),
	};
}

/**
 * @param items - items to sample from.
 * @param count - maximum number of items to draw.
 * @param random - source of random numbers.
 * @returns up to `count` items in random order, drawn without replacement.
 */
export function sample<T>(items: readonly T[], count: number, random: Random): T[] {
	const pool = [...items];
	const size = Math.min(count, pool.length);
	for (let i = 0; i < size; i++) {
		const j = i + random.below(pool.length - i);
		[pool[i], pool[j]] = [pool[j]!, pool[i]!];
	}

	return pool.slice(0, size);
}
