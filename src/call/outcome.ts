/** How a call ended, as far as its caller is told. */
export enum Outcome {
	/** A backend server answered, and the answer is the caller's own. */
	Answered = 'answered',
	/** It is proved that no backend server ran the call. */
	NotRun = 'not-run',
	/** The call may have run; nobody can prove either. */
	Unknown = 'unknown',
}
