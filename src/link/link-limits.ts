import {second, type Millis} from '../clock/index.js';

/** Largest accepted frame, in bytes. */
export const maxFrameBytes = 4 * 1024 * 1024;

/** Largest Data frame, in bytes; keeps one large body from blocking the other streams of the link. */
export const chunkBytes = 16_384;

/** Flow-control window: bytes of a streamed body that may be in transit or unread. */
export const windowBytes = 4 * chunkBytes;

/** Time limit for connecting and authenticating a link. */
export const openTimeout: Millis = second;

/** Time limit for the reply to a request with a correlation id. */
export const requestTimeout: Millis = second;

/** Interval of heartbeats on a link with calls in flight. */
export const heartbeatPeriod: Millis = 200;

/** A link with calls in flight counts as broken after receiving nothing for this time. */
export const silenceTimeout: Millis = 4 * heartbeatPeriod;

/** Time for a peer to reply to a ping; a round trip between regions takes some tens of ms. */
export const pingTimeout: Millis = 300;

/** Streams that each side may have open on a link. */
export const maxStreams = 4096;
