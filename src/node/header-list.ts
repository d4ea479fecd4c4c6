import type {HeaderList} from '../call/index.js';

/**
 * @param headers - headers as the HTTP library returns them; repeated headers are skipped.
 * @returns alternating names and values.
 */
export function toHeaderList(
	headers: Readonly<Record<string, string | string[] | undefined>>,
): HeaderList {
	const list: HeaderList = [];
	for (const [name, value] of Object.entries(headers)) {
		if (typeof value === 'string') {
			list.push(name, value);
		}
	}

	return list;
}
