import type {HeaderList} from '../call/index.js';

/** Hop-by-hop headers, which apply to one connection only (RFC 9110, section 7.6.1). */
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

function connectionHeaderNames(headers: HeaderList): ReadonlySet<string> {
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
 * @param headers - headers received from a caller or a backend server.
 * @returns the headers to forward: without hop-by-hop headers and those that only Turmeric sets.
 */
export function stripHeaders(headers: HeaderList): HeaderList {
	const named = connectionHeaderNames(headers);
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
 * @param name - name of a header, in lower case.
 * @returns its first value; undefined if the header is absent.
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
 * @param name - name of a header, in lower case.
 * @returns whether the header is present.
 */
export function hasHeader(headers: HeaderList, name: string): boolean {
	return headerValue(headers, name) !== undefined;
}
