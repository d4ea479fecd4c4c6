/** Outcome of a call as reported to its caller. */
export enum Outcome {
	/** A backend server answered this call. */
	Answered = 'answered',
	/** Provably no backend server ran the call. */
	NotRun = 'not-run',
	/** The call may or may not have run; neither can be proved. */
	Unknown = 'unknown',
}
