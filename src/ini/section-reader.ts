import type {Millis} from '../clock/index.js';
import type {Finding} from './finding.js';
import type {IniDocument, IniEntry} from './ini-document.js';

/** Bounds of a number and its default. */
export interface NumberRule {
	readonly min: number;
	readonly max: number;
	/** Value if the key is missing; undefined if the key is required. */
	readonly fallback?: number;
}

/** Milliseconds per unit. */
const unitMillis: Readonly<Record<string, number>> = {
	ms: 1,
	s: 1000,
	min: 60_000,
	h: 3_600_000,
};
const durationPattern = /^(\d+(?:\.\d+)?)\s*(ms|s|min|h)$/v;

/** Reads the keys of a section and collects all findings instead of failing at the first one. */
export class SectionReader {
	private readonly knownKeys = new Set<string>();
	private readonly entries: ReadonlyMap<string, IniEntry>;
	private readonly line: number;

	constructor(
		private readonly document: IniDocument,
		private readonly section: string,
		private readonly findings: Finding[],
	) {
		const found = document.sections.get(section);
		this.entries = found?.entries ?? new Map<string, IniEntry>();
		this.line = found?.line ?? 0;
	}

	/**
	 * @param key - name of the key.
	 * @param fallback - value if the key is missing; undefined if the key is required.
	 * @returns the value; empty if a required key is missing.
	 */
	text(key: string, fallback?: string): string {
		const entry = this.entry(key);
		if (!entry && fallback === undefined) {
			this.report(key, 'is missing', 'add it');
		}

		return entry?.value ?? fallback ?? '';
	}

	/**
	 * @param key - name of the key.
	 * @param rule - bounds and fallback.
	 * @returns a whole number.
	 */
	integer(key: string, rule: NumberRule): number {
		const value = this.number(key, rule);
		if (!Number.isInteger(value)) {
			this.report(key, 'is not a whole number', `give a number from ${rule.min} to ${rule.max}`);
		}

		return value;
	}

	/**
	 * @param key - name of the key.
	 * @param rule - bounds and fallback.
	 * @returns a number.
	 */
	number(key: string, rule: NumberRule): number {
		const entry = this.entry(key);
		if (!entry) {
			return this.missingNumber(key, rule);
		}

		const value = entry.value === '' ? Number.NaN : Number(entry.value);
		return this.bounded(key, value, rule, `give a number from ${rule.min} to ${rule.max}`);
	}

	/**
	 * @param key - name of the key.
	 * @param rule - bounds.
	 * @returns a number; undefined if the key is missing or has no value.
	 */
	optionalNumber(key: string, rule: Omit<NumberRule, 'fallback'>): number | undefined {
		const entry = this.entry(key);
		return entry === undefined || entry.value === '' ? undefined : this.number(key, rule);
	}

	/**
	 * @param key - name of the key.
	 * @param rule - bounds and fallback in ms.
	 * @returns a duration in ms; the value has a unit, as in `250 ms`, `5 s`, `2 min`, `1 h`.
	 */
	duration(key: string, rule: NumberRule): Millis {
		const entry = this.entry(key);
		if (!entry) {
			return this.missingNumber(key, rule);
		}

		const match = durationPattern.exec(entry.value);
		const value = match ? Number(match[1]) * unitMillis[match[2]!]! : Number.NaN;
		return this.bounded(key, value, rule, `give ${rule.min} ms to ${rule.max} ms, as in "250 ms"`);
	}

	/**
	 * @param key - name of the key.
	 * @param fallback - value if the key is missing.
	 * @returns the non-empty items of a comma-separated list.
	 */
	list(key: string, fallback: readonly string[] = []): readonly string[] {
		const entry = this.entry(key);
		if (!entry) {
			return fallback;
		}

		const items = entry.value.split(',').map((item) => item.trim());
		return items.filter((item) => item !== '');
	}

	/**
	 * @param key - name of the key.
	 * @param choices - allowed values.
	 * @param fallback - value if the key is missing.
	 * @returns one of the choices.
	 */
	choice<T extends string>(key: string, choices: readonly T[], fallback: T): T {
		const entry = this.entry(key);
		const found = choices.find((choice) => choice === entry?.value);
		if (entry && found === undefined) {
			this.report(key, `"${entry.value}" is not known`, `give one of ${choices.join(', ')}`);
		}

		return found ?? fallback;
	}

	/**
	 * @param key - name of the key.
	 * @param fallback - value if the key is missing.
	 * @returns whether the value is `true`.
	 */
	flag(key: string, fallback: boolean): boolean {
		return this.choice(key, ['true', 'false'], String(fallback)) === 'true';
	}

	/**
	 * Adds a finding about a key.
	 * @param key - name of the key.
	 * @param problem - description of the problem.
	 * @param hint - how to fix it.
	 */
	report(key: string, problem: string, hint: string): void {
		const line = this.entries.get(key)?.line ?? this.line;
		this.findings.push({
			file: this.document.file,
			section: this.section,
			key,
			line,
			problem,
			hint,
		});
	}

	/** Reports each key of the section that was not read. */
	reportUnknownKeys(): void {
		for (const key of this.entries.keys()) {
			if (!this.knownKeys.has(key)) {
				this.report(key, 'is not known', `known keys: ${[...this.knownKeys].join(', ')}`);
			}
		}
	}

	private entry(key: string): IniEntry | undefined {
		this.knownKeys.add(key);
		return this.entries.get(key);
	}

	private missingNumber(key: string, rule: NumberRule): number {
		if (rule.fallback === undefined) {
			this.report(key, 'is missing', `give a number from ${rule.min} to ${rule.max}`);
		}

		return rule.fallback ?? rule.min;
	}

	private bounded(key: string, value: number, rule: NumberRule, hint: string): number {
		const isInBounds = value >= rule.min && value <= rule.max;
		if (!isInBounds) {
			this.report(key, `"${this.entries.get(key)!.value}" is out of bounds`, hint);
		}

		return isInBounds ? value : rule.min;
	}
}

/**
 * Reports unknown sections.
 * @param document - a parsed file.
 * @param isKnown - returns whether a section name is known.
 * @param findings - receives the problems found.
 */
export function reportUnknownSections(
	document: IniDocument,
	isKnown: (name: string) => boolean,
	findings: Finding[],
): void {
	for (const {name, line} of document.sections.values()) {
		if (!isKnown(name)) {
			const problem = 'is not a known section';
			const hint = 'see the settings reference';
			findings.push({file: document.file, section: name, key: '', line, problem, hint});
		}
	}
}
