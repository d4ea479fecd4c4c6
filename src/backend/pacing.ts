import type {Millis} from '../clock/index.js';

/** What the start of a call at a slow backend server depends on. */
export interface PacingInput {
	/** Time that the call takes at the usual speed, in ms. */
	readonly work: Millis;
	/** How many times longer than usual work takes now. */
	readonly slowdown: number;
	/** How long the slow spell still lasts on the mean, in ms. */
	readonly slowPeriodLeft: Millis;
	/** How long the caller still waits, in ms. */
	readonly timeLeft: Millis;
}

/**
 * A call keeps the speed at which it starts: one that starts in a slow spell ends later than one that
 * waits for its end, unless it is short. Answers load on hosts with noisy neighbours, where starting
 * everything at once costs most of the capacity.
 * One that cannot end in time at this speed is never started: its caller would be told that it may
 * have run.
 * @param parts - what it depends on.
 * @returns whether the call should wait for the end of the spell.
 */
export function shouldDelayStart({
	work,
	slowdown,
	slowPeriodLeft: spellLeft,
	timeLeft,
}: PacingInput): boolean {
	return work * (slowdown - 1) > spellLeft || work * slowdown > timeLeft;
}
