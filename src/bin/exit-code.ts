/** Exit codes of the programs; documented in docs/OPERATORS.md. */
export enum ExitCode {
	Ok = 0,
	/** The work was done and its result is bad: an outcome was missed. */
	Failed = 1,
	/** The arguments or the files are wrong. */
	Invalid = 2,
	/** Somebody else changed the same thing first. */
	Conflict = 3,
	/** The platform's store or a node did not answer. */
	Unavailable = 4,
	/** The change was staged and is not accepted yet. */
	Pending = 5,
	/** Calls were cut, as they did not end in time. */
	Forced = 6,
}
