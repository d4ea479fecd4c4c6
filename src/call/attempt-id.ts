/** Unique identifier of one attempt of a call; never reused. */
export interface AttemptId {
	/** The incarnation of the node that sends the attempt. */
	readonly instance: string;
	/** Increases within one incarnation. */
	readonly sequence: number;
}
