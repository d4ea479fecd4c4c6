import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

const nonceBytes = 16;

/** @returns a value that is never used again. */
export function createNonce(): string {
	return randomBytes(nonceBytes).toString('base64url');
}

/**
 * @param secret - what all nodes of a deployment share.
 * @param nonce - the challenge of the other side.
 * @param identity - id and instance of the side that proves itself.
 * @returns a proof that its sender knows the secret.
 */
export function createProof(secret: string, nonce: string, identity: string): string {
	return createHmac('sha256', secret).update(`${nonce}\n${identity}`).digest('base64url');
}

/**
 * @param expected - the proof as computed here.
 * @param actual - the proof that came.
 * @returns whether they are equal, compared in constant time.
 */
export function isProofValid(expected: string, actual: string): boolean {
	const encoder = new TextEncoder();
	const a = encoder.encode(expected);
	const b = encoder.encode(actual);
	return a.length === b.length && timingSafeEqual(a, b);
}
