import type {Body} from '../exchange/index.js';
import {hash48, hashBytes} from '../util/index.js';

const radix = 36;

/** The fields of a request that identify equal requests. */
export interface FingerprintInput {
	readonly service: string;
	readonly customer: string;
	readonly method: string;
	readonly path: string;
	readonly key: string | undefined;
	readonly body: Body;
}

/**
 * @param input - the identifying fields of a request.
 * @returns a hash that is the same for equal requests; a streamed body is not included.
 */
export function fingerprint(input: FingerprintInput): string {
	const {service, customer, method, path, key, body} = input;
	const content = body.bytes && body.bytes.length > 0 ? hashBytes(body.bytes) : '';
	const text = [service, customer, method, path, key ?? '', content].join('\n');
	return hash48(text).toString(radix);
}
