/** An internal assumption of the program does not hold. */
export class InvariantError extends Error {
	override name = 'InvariantError';
}

/**
 * Asserts an internal assumption.
 * @param condition - condition that must hold.
 * @param rule - description of the assumption, for the message.
 * @throws {@link InvariantError} if the condition is false.
 */
export function invariant(condition: boolean, rule: string): asserts condition {
	if (!condition) {
		throw new InvariantError(`Invariant broken: ${rule}`);
	}
}
