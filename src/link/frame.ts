import type {
	AttemptState,
	HeaderList,
	LoadReport,
	RefusalReason,
	RequestOrigin,
} from '../call/index.js';
import type {Millis} from '../clock/index.js';

/** Version of the link protocol; links to peers with another version are closed. */
export const protocolVersion = 2;

/** Kinds of frame; the values are part of the wire format. */
export enum FrameType {
	Challenge = 0,
	Hello = 1,
	Welcome = 2,
	Open = 3,
	Credit = 4,
	Data = 5,
	End = 6,
	Answer = 7,
	Refused = 8,
	Failed = 9,
	Cancel = 10,
	AttemptQuery = 11,
	AttemptStatus = 12,
	Heartbeat = 13,
	Leaving = 14,
	Fetch = 15,
	FetchResult = 16,
	Handover = 17,
	HandoverAck = 18,
	Load = 19,
}

/** First frame of the handshake: the accepting side requests a proof from the dialing side. */
export interface ChallengeFrame {
	readonly type: FrameType.Challenge;
	readonly version: number;
	readonly nonce: string;
}

/** The dialing side identifies itself and proves that it knows the shared secret. */
export interface HelloFrame {
	readonly type: FrameType.Hello;
	readonly version: number;
	readonly id: string;
	readonly instance: string;
	readonly region: string;
	readonly nonce: string;
	readonly proof: string;
}

/** The accepting side identifies itself and proves that it knows the shared secret. */
export interface WelcomeFrame {
	readonly type: FrameType.Welcome;
	readonly id: string;
	readonly instance: string;
	readonly region: string;
	readonly proof: string;
}

/** Component that handles an opened call at the receiving node. */
export enum OpenTarget {
	/** The executor, which runs the call on the node's own backend server. */
	Executor = 0,
	/** The owner of the call's idempotency key, which routes the call. */
	KeyOwner = 1,
}

/** Starts an attempt on a new stream. */
export interface OpenFrame {
	readonly type: FrameType.Open;
	readonly stream: number;
	readonly target: OpenTarget;
	readonly sequence: number;
	readonly service: string;
	readonly customer: string;
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderList;
	readonly isIdempotent: boolean;
	readonly key: string | undefined;
	readonly origin: RequestOrigin;
	readonly fingerprint: string;
	readonly share: number;
	readonly canRetryElsewhere: boolean;
	/** Time until the caller's deadline, in ms. */
	readonly timeLeft: Millis;
	/** Time until the latency objective is missed, in ms. */
	readonly objectiveLeft: Millis;
	/** The complete body; undefined when it is streamed in Data frames. */
	readonly body: Uint8Array | undefined;
	/** Regions that the call may be sent to; undefined for any, and not encoded then. */
	readonly allowedRegions?: readonly string[] | undefined;
	/** Expected transfer time of a streamed body, in ms; undefined if it is not known. */
	readonly transferTime?: Millis | undefined;
}

/** Grants the receiver of this frame `bytes` more bytes to send on a stream. */
export interface CreditFrame {
	readonly type: FrameType.Credit;
	readonly stream: number;
	readonly bytes: number;
}

export interface DataFrame {
	readonly type: FrameType.Data;
	readonly stream: number;
	readonly bytes: Uint8Array;
}

/** Marks the end of a complete body on a stream. */
export interface EndFrame {
	readonly type: FrameType.End;
	readonly stream: number;
	readonly trailers: HeaderList;
}

export interface AnswerFrame {
	readonly type: FrameType.Answer;
	readonly stream: number;
	readonly status: number;
	readonly headers: HeaderList;
	readonly load: LoadReport;
	/** The complete body; undefined when it is streamed in Data frames. */
	readonly body: Uint8Array | undefined;
	readonly trailers: HeaderList;
	/** Whether the backend server marked the end of the body; only nodes of earlier versions read it. */
	readonly isDelimited: boolean;
}

/** Reports that the attempt has certainly not run. */
export interface RefusedFrame {
	readonly type: FrameType.Refused;
	readonly stream: number;
	readonly reason: RefusalReason;
	readonly load: LoadReport | undefined;
}

/** Reports that the attempt may have run, or that its body was truncated. */
export interface FailedFrame {
	readonly type: FrameType.Failed;
	readonly stream: number;
	readonly reason: RefusalReason;
}

export interface CancelFrame {
	readonly type: FrameType.Cancel;
	readonly stream: number;
}

/** Queries the state of an attempt and fences the attempt if it has not run. */
export interface AttemptQueryFrame {
	readonly type: FrameType.AttemptQuery;
	readonly correlationId: number;
	readonly sequence: number;
}

export interface AttemptStatusFrame {
	readonly type: FrameType.AttemptStatus;
	readonly correlationId: number;
	readonly state: AttemptState;
}

/** Shows that the sender is alive while it has nothing else to send. */
export interface HeartbeatFrame {
	readonly type: FrameType.Heartbeat;
}

/** Announces that the sender takes no new calls. */
export interface LeavingFrame {
	readonly type: FrameType.Leaving;
}

/** Unsolicited load report of the sender's backend server. */
export interface LoadFrame {
	readonly type: FrameType.Load;
	readonly load: LoadReport;
}

/** Requests the content of a configuration revision. */
export interface FetchFrame {
	readonly type: FrameType.Fetch;
	readonly correlationId: number;
	readonly hash: string;
	/**
	 * Hash of a content that the sender holds, from which the receiver may send a delta; empty for none. Undefined
	 * from older nodes, which accept neither deltas nor compressed texts.
	 */
	readonly base: string | undefined;
}

export interface FetchResultFrame {
	readonly type: FrameType.FetchResult;
	readonly correlationId: number;
	/** Undefined when the sender does not have the content. */
	readonly content: string | undefined;
	/** Serialized delta from the base that was named; undefined when the content is sent in full. */
	readonly delta: string | undefined;
	/** Compressed content or delta, in the place of either. */
	readonly deflated: Uint8Array | undefined;
	/** Whether the compressed text is a delta. */
	readonly isDelta: boolean;
}

/** Idempotency key records of a leaving node. */
export interface HandoverFrame {
	readonly type: FrameType.Handover;
	readonly correlationId: number;
	readonly records: Uint8Array;
}

export interface HandoverAckFrame {
	readonly type: FrameType.HandoverAck;
	readonly correlationId: number;
}

export type Frame =
	| ChallengeFrame
	| HelloFrame
	| WelcomeFrame
	| OpenFrame
	| CreditFrame
	| DataFrame
	| EndFrame
	| AnswerFrame
	| RefusedFrame
	| FailedFrame
	| CancelFrame
	| AttemptQueryFrame
	| AttemptStatusFrame
	| HeartbeatFrame
	| LeavingFrame
	| LoadFrame
	| FetchFrame
	| FetchResultFrame
	| HandoverFrame
	| HandoverAckFrame;
