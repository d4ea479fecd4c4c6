/** Names one attempt of a call; never used again. */
export interface AttemptId {
	/** The incarnation of the node that sends the attempt. */
	readonly instance: string;
	/** Counts up within one incarnation. */
	readonly sequence: number;
}
