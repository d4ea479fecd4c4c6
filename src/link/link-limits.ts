import {second, type Millis} from '../clock/index.js';

/** Bytes of the largest frame. */
export const maxFrameBytes = 4 * 1024 * 1024;

/** Bytes of one piece of a streamed body, so that no body holds up the link. */
export const chunkBytes = 16_384;

/** Bytes of a streamed body that may be under way and unread. */
export const windowBytes = 4 * chunkBytes;

/** How long opening a link may take. */
export const openTimeout: Millis = second;

/** How long a question to a peer may stay without its reply. */
export const questionTimeout: Millis = second;

/** Time between two signs of life on a link with calls in flight. */
export const beatPeriod: Millis = 200;

/** A link with calls in flight that is silent for so long is taken for broken. */
export const silenceLimit: Millis = 4 * beatPeriod;

/** Streams that one peer may have open on a link. */
export const maxStreams = 4096;
