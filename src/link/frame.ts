import type {
	AttemptState,
	HeaderList,
	LoadReport,
	RefusalReason,
	RequestOrigin,
} from '../call/index.js';
import type {Millis} from '../clock/index.js';

/** Version of the link protocol; peers of another version are turned away. */
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

/** The accepting side proves nothing yet and asks the dialing side for a proof. */
export interface ChallengeFrame {
	readonly type: FrameType.Challenge;
	readonly version: number;
	readonly nonce: string;
}

/** The dialing side names itself and proves that it knows the secret. */
export interface HelloFrame {
	readonly type: FrameType.Hello;
	readonly version: number;
	readonly id: string;
	readonly instance: string;
	readonly region: string;
	readonly nonce: string;
	readonly proof: string;
}

/** The accepting side does the same. */
export interface WelcomeFrame {
	readonly type: FrameType.Welcome;
	readonly id: string;
	readonly instance: string;
	readonly region: string;
	readonly proof: string;
}

/** Who handles an opened call at the other side. */
export enum OpenTarget {
	/** The executor, on its own backend server. */
	Executor = 0,
	/** The home of the call's idempotency key, which routes it. */
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
	/** How long the caller still waits, in ms. */
	readonly timeLeft: Millis;
	/** How long an answer is still in time, in ms. */
	readonly objectiveLeft: Millis;
	/** The whole body; undefined when it follows as a stream. */
	readonly body: Uint8Array | undefined;
}

/** Lets the other side send so many bytes more on a stream. */
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

/** The body on a stream is whole. */
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
	/** The whole body; undefined when it follows as a stream. */
	readonly body: Uint8Array | undefined;
	readonly trailers: HeaderList;
	/** Whether the backend server marked the end of the body. */
	readonly isDelimited: boolean;
}

/** The attempt is proved not to have run. */
export interface RefusedFrame {
	readonly type: FrameType.Refused;
	readonly stream: number;
	readonly reason: RefusalReason;
	readonly load: LoadReport | undefined;
}

/** The attempt may have run, or its body broke off. */
export interface FailedFrame {
	readonly type: FrameType.Failed;
	readonly stream: number;
	readonly reason: RefusalReason;
}

export interface CancelFrame {
	readonly type: FrameType.Cancel;
	readonly stream: number;
}

/** Asks what became of an attempt and fences it. */
export interface AskFrame {
	readonly type: FrameType.AttemptQuery;
	readonly correlationId: number;
	readonly sequence: number;
}

export interface ToldFrame {
	readonly type: FrameType.AttemptStatus;
	readonly correlationId: number;
	readonly state: AttemptState;
}

/** A sign of life of an idle link. */
export interface BeatFrame {
	readonly type: FrameType.Heartbeat;
}

/** The sender takes no new work. */
export interface LeavingFrame {
	readonly type: FrameType.Leaving;
}

/** Tells the load of the sender's backend server, without being asked. */
export interface LoadFrame {
	readonly type: FrameType.Load;
	readonly load: LoadReport;
}

/** Asks for the content of a configuration revision. */
export interface FetchFrame {
	readonly type: FrameType.Fetch;
	readonly correlationId: number;
	readonly hash: string;
}

export interface FetchedFrame {
	readonly type: FrameType.FetchResult;
	readonly correlationId: number;
	/** Undefined when the sender does not hold it. */
	readonly content: string | undefined;
}

/** Remembered keys of a node that leaves. */
export interface HandoverFrame {
	readonly type: FrameType.Handover;
	readonly correlationId: number;
	readonly records: Uint8Array;
}

export interface HandoverTakenFrame {
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
	| AskFrame
	| ToldFrame
	| BeatFrame
	| LeavingFrame
	| LoadFrame
	| FetchFrame
	| FetchedFrame
	| HandoverFrame
	| HandoverTakenFrame;
