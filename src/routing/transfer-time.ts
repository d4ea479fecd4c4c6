import type {Millis} from '../clock/index.js';

const bitsPerByte = 8;
/** A link of 1 Mbit/s transfers this many bits in a millisecond. */
const bitsPerMillisecond = 1000;

/**
 * @param bytes - size of a body.
 * @param rates - bandwidths of the links that it crosses, in Mbit/s; undefined where one is not known.
 * @returns time that the body takes on the slowest link, in ms; 0 if no bandwidth is known.
 */
export function transferTime(bytes: number, rates: ReadonlyArray<number | undefined>): Millis {
	let slowest = Number.POSITIVE_INFINITY;
	for (const rate of rates) {
		slowest = Math.min(slowest, rate ?? Number.POSITIVE_INFINITY);
	}

	return (bytes * bitsPerByte) / (slowest * bitsPerMillisecond);
}
