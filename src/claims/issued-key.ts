import {parseEndpoint} from '../settings/index.js';
import type {KeyOwner} from './claim-writer.js';

const mark = 'tmk1';
const separator = '~';

/**
 * A key that names its home: only that incarnation of that node can ever let its call run, so that
 * nothing has to be agreed and no store is asked.
 * @param home - the node that issues the key.
 * @param sequence - counts up within one incarnation.
 * @returns the key.
 */
export function createIssuedKey(home: KeyOwner, sequence: number): string {
	return [mark, home.id, home.instance, sequence].join(separator);
}

/**
 * @param key - an idempotency key.
 * @returns the home that the key names; undefined for a caller's own key.
 */
export function parseIssuedKey(key: string): KeyOwner | undefined {
	const [start, id, instance, sequence] = key.split(separator);
	const isIssued = start === mark && id !== undefined && instance !== undefined;
	if (!isIssued || sequence === undefined || !parseEndpoint(id)) {
		return undefined;
	}

	return {id, instance};
}
