import type {HeaderList} from '../call/index.js';

/** Headers that belong to one connection. Source: RFC 9110, section 7.6.1. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

const productPrefix = 'turmeric-';

function namedByConnection(headers: HeaderList): ReadonlySet<string> {
	const names = new Set<string>();
	for (let i = 0; i < headers.length; i += 2) {
		if (headers[i]!.toLowerCase() === 'connection') {
			for (const name of headers[i + 1]!.split(',')) {
				names.add(name.trim().toLowerCase());
			}
		}
	}

	return names;
}

/**
 * @param headers - as they came from a caller or a backend server.
 * @returns what may be passed on: no header of one connection, and none that only this product sets.
 */
export function stripHeaders(headers: HeaderList): HeaderList {
	const named = namedByConnection(headers);
	const kept: HeaderList = [];
	for (let i = 0; i < headers.length; i += 2) {
		const name = headers[i]!.toLowerCase();
		const isDropped =
			hopByHopHeaders.has(name) || named.has(name) || name.startsWith(productPrefix);
		if (!isDropped) {
			kept.push(headers[i]!, headers[i + 1]!);
		}
	}

	return kept;
}

/**
 * @param headers - a header list.
 * @param name - name of a header, in small letters.
 * @returns its first value; undefined where there is none.
 */
export function headerValue(headers: HeaderList, name: string): string | undefined {
	for (let i = 0; i < headers.length; i += 2) {
		if (headers[i]!.toLowerCase() === name) {
			return headers[i + 1];
		}
	}

	return undefined;
}

/**
 * @param headers - a header list.
 * @param name - name of a header, in small letters.
 * @returns whether it is there.
 */
export function hasHeader(headers: HeaderList, name: string): boolean {
	return headerValue(headers, name) !== undefined;
}
