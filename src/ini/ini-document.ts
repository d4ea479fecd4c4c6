import {parse} from 'ini';
import type {Finding} from './finding.js';

/** A value of an INI file with its location. */
export interface IniEntry {
	readonly value: string;
	/** Line number from 1. */
	readonly line: number;
}

/** A section of an INI file. */
export interface IniSection {
	readonly name: string;
	/** Line number from 1. */
	readonly line: number;
	readonly entries: ReadonlyMap<string, IniEntry>;
}

/** A parsed INI file with the location of each key. */
export interface IniDocument {
	readonly file: string;
	readonly sections: ReadonlyMap<string, IniSection>;
}

const sectionPattern = /^\[([^\]]+)\]$/v;
const entryPattern = /^([^=]+?)\s*=\s*(.*)$/v;

function isBlankOrComment(line: string): boolean {
	return line === '' || line.startsWith(';') || line.startsWith('#');
}

function parseValue(line: string): string {
	const parsed = parse(`value = ${line}`);
	return String(parsed.value);
}

/** Builds the sections of a document line by line. */
class IniScanner {
	readonly sections = new Map<string, IniSection>();
	private entries: Map<string, IniEntry> | undefined;
	private section = '';

	constructor(
		private readonly file: string,
		private readonly findings: Finding[],
	) {}

	scan(content: string, line: number): void {
		const header = sectionPattern.exec(content);
		const entry = entryPattern.exec(content);
		if (header) {
			this.openSection(header[1]!.trim(), line);
		} else if (entry) {
			this.addEntry(entry[1]!, entry[2]!, line);
		} else {
			this.report('', line, `not a section, key or comment: ${content}`, 'write key = value');
		}
	}

	private openSection(name: string, line: number): void {
		this.section = name;
		if (this.sections.has(name)) {
			this.report('', line, `section [${name}] appears twice`, 'merge the two');
		}

		this.entries = new Map<string, IniEntry>();
		this.sections.set(name, {name, line, entries: this.entries});
	}

	private addEntry(key: string, text: string, line: number): void {
		if (!this.entries) {
			this.report(key, line, 'appears before the first section', 'put it below a [section]');
		} else if (this.entries.has(key)) {
			this.report(key, line, 'appears twice', 'keep one');
		} else {
			this.entries.set(key, {value: parseValue(text), line});
		}
	}

	private report(key: string, line: number, problem: string, hint: string): void {
		this.findings.push({file: this.file, section: this.section, key, line, problem, hint});
	}
}

/**
 * Parses INI text. The `ini` library parses the values; the scan records the locations, which the
 * library does not provide.
 * @param file - name of the file, for messages.
 * @param text - content of the file.
 * @param findings - receives the problems found.
 * @returns the document without the invalid lines.
 */
export function parseIni(file: string, text: string, findings: Finding[]): IniDocument {
	const scanner = new IniScanner(file, findings);
	for (const [index, raw] of text.split(/\r?\n/v).entries()) {
		const content = raw.trim();
		if (!isBlankOrComment(content)) {
			scanner.scan(content, index + 1);
		}
	}

	return {file, sections: scanner.sections};
}
