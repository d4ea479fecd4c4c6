import type {Millis} from '../clock/index.js';

/**
 * Slots of a backend server that has just started: they grow, so that cold caches and lazy set-up
 * are met by little work.
 * @param slots - slots when warm.
 * @param age - time since the start, in ms.
 * @param warmUp - time until warm, in ms.
 * @returns slots now; at least 1.
 */
export function warmingSlots(slots: number, age: Millis, warmUp: Millis): number {
	const startShare = 0.2;
	const progress = warmUp > 0 ? Math.min(1, age / warmUp) : 1;
	const share = startShare + (1 - startShare) * progress;
	return Math.max(1, Math.floor(slots * share));
}
