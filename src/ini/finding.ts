/** One thing that is wrong in a file, with its place. */
export interface Finding {
	readonly file: string;
	readonly section: string;
	readonly key: string;
	/** Counted from 1; 0 where the thing is missing. */
	readonly line: number;
	readonly problem: string;
	readonly hint: string;
}

/**
 * @param finding - what to describe.
 * @returns one line for people.
 */
export function formatFinding(finding: Finding): string {
	const {file, section, key, line, problem, hint} = finding;
	const place = line > 0 ? `${file}:${line}` : file;
	const name = [section && `[${section}]`, key].filter(Boolean).join(' ');
	return `${place}: ${name}: ${problem}${hint ? ` (${hint})` : ''}`;
}

/** Reports every finding of a check together. */
export class FindingsError extends Error {
	override name = 'FindingsError';

	constructor(readonly findings: readonly Finding[]) {
		super(findings.map((finding) => formatFinding(finding)).join('\n'));
	}
}
