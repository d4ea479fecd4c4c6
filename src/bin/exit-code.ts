/** Exit codes of the programs; documented in docs/OPERATORS.md. */
export enum ExitCode {
	Ok = 0,
	/** The command ended with a negative result, such as a violated invariant, or the node met an unexpected error. */
	Failed = 1,
	/** The arguments or the files are invalid. */
	Invalid = 2,
	/** Another change was staged or accepted first. */
	Conflict = 3,
	/** The platform's store or a node did not answer. */
	Unavailable = 4,
	/** The change was staged and is not accepted yet. */
	Pending = 5,
	/** The node stopped before all calls in flight had ended; the rest were cut. */
	Forced = 6,
}
