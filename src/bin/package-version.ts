import {readFileSync} from 'node:fs';

/** @returns the version in package.json; `unknown` if it has none. */
export function packageVersion(): string {
	const file = new URL('../../../package.json', import.meta.url);
	const parsed: unknown = JSON.parse(readFileSync(file, 'utf8'));
	const isRecord = typeof parsed === 'object' && parsed !== null && 'version' in parsed;
	return isRecord ? String(parsed.version) : 'unknown';
}
