import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

const nonceBytes = 16;

/** @returns a random value for a single handshake. */
export function createNonce(): string {
	return randomBytes(nonceBytes).toString('base64url');
}

/**
 * @param secret - shared secret of the deployment's nodes.
 * @param nonce - nonce sent by the other side.
 * @param identity - role, id, instance and region of the side that creates the proof.
 * @returns the HMAC-SHA256 of nonce and identity, base64url-encoded.
 */
export function createProof(secret: string, nonce: string, identity: string): string {
	return createHmac('sha256', secret).update(`${nonce}\n${identity}`).digest('base64url');
}

/**
 * @param expected - the proof computed locally.
 * @param actual - the proof received from the peer.
 * @returns whether they are equal, compared in constant time.
 */
export function isProofValid(expected: string, actual: string): boolean {
	const encoder = new TextEncoder();
	const a = encoder.encode(expected);
	const b = encoder.encode(actual);
	return a.length === b.length && timingSafeEqual(a, b);
}
