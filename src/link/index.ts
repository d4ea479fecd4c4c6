export {BodyReceiver} from './body-receiver.js';
export {decodeFrame, encodeFrame, FrameDecodeError} from './frame-codec.js';
export {FrameType, OpenTarget, protocolVersion, type Frame} from './frame.js';
export {LinkCloseReason, type PeerIdentity} from './link.js';
export {LinkHub, type LinkHubDelegate, type LinkHubDependencies} from './link-hub.js';
export {PeerSession, type ContentReply} from './peer-session.js';
export {maxFrameBytes} from './link-limits.js';
