/** A broken assumption of the program itself. */
export class InvariantError extends Error {
	override name = 'InvariantError';
}

/**
 * Asserts a rule that the code below relies on.
 * @param condition - must hold.
 * @param rule - the rule in words, for the message.
 * @throws {@link InvariantError} when the rule is broken.
 */
export function invariant(condition: boolean, rule: string): asserts condition {
	if (!condition) {
		throw new InvariantError(`Invariant broken: ${rule}`);
	}
}
