/** A duration or a point in time in milliseconds, the only unit of time in this code base. */
export type Millis = number;

/** One second in milliseconds. */
export const second: Millis = 1000;

/** One minute in milliseconds. */
export const minute: Millis = 60 * second;
