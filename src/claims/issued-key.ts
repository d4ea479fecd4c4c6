import {parseEndpoint} from '../settings/index.js';
import type {KeyOwner} from './claim-writer.js';

const issuedKeyPrefix = 'tmk1';
const separator = '~';

/**
 * Creates a key that names its owner. Only that incarnation of the node can run a call with this key,
 * so neither an agreement between nodes nor a claim in the store is needed.
 * @param owner - the node that issues the key.
 * @param sequence - number of the key, unique within the incarnation.
 * @returns the key.
 */
export function createIssuedKey(owner: KeyOwner, sequence: number): string {
	return [issuedKeyPrefix, owner.id, owner.instance, sequence].join(separator);
}

/**
 * @param key - an idempotency key.
 * @returns the owner that the key names; undefined for a key that the caller has chosen itself.
 */
export function parseIssuedKey(key: string): KeyOwner | undefined {
	const [prefix, id, instance, sequence] = key.split(separator);
	const isIssued = prefix === issuedKeyPrefix && id !== undefined && instance !== undefined;
	if (!isIssued || sequence === undefined || !parseEndpoint(id)) {
		return undefined;
	}

	return {id, instance};
}
