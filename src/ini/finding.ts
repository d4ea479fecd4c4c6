/** A problem in a file, with its location. */
export interface Finding {
	readonly file: string;
	readonly section: string;
	readonly key: string;
	/** Line number from 1; 0 if the section or key is missing. */
	readonly line: number;
	readonly problem: string;
	readonly hint: string;
}

/**
 * @param finding - finding to format.
 * @returns a single line for human readers.
 */
export function formatFinding(finding: Finding): string {
	const {file, section, key, line, problem, hint} = finding;
	const location = line > 0 ? `${file}:${line}` : file;
	const name = [section && `[${section}]`, key].filter(Boolean).join(' ');
	return `${location}: ${name}: ${problem}${hint ? ` (${hint})` : ''}`;
}

/** Carries all findings of a check. */
export class FindingsError extends Error {
	override name = 'FindingsError';

	constructor(readonly findings: readonly Finding[]) {
		super(findings.map((finding) => formatFinding(finding)).join('\n'));
	}
}
