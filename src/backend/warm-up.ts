import type {Millis} from '../clock/index.js';

/**
 * Number of slots of a backend server that is warming up. It grows linearly, so that cold caches and
 * lazy initialisation affect few calls.
 * @param slots - slots after the warm-up.
 * @param age - time since the start, in ms.
 * @param warmUp - duration of the warm-up, in ms.
 * @returns the current number of slots; at least 1.
 */
export function warmingSlots(slots: number, age: Millis, warmUp: Millis): number {
	const startShare = 0.2;
	const progress = warmUp > 0 ? Math.min(1, age / warmUp) : 1;
	const share = startShare + (1 - startShare) * progress;
	return Math.max(1, Math.floor(slots * share));
}
