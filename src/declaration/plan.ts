import type {CallPolicy, Declaration, LinkBudget, ServicePolicy} from './declaration.js';

/** Effect of a change on one subject. */
export enum ChangeKind {
	Added = 'added',
	Removed = 'removed',
	Changed = 'changed',
}

/** One difference between two declarations. */
export interface PlannedChange {
	readonly kind: ChangeKind;
	/** Policy or link that changes, as in `service yard-booking` or `yard-booking for kuressaare`. */
	readonly subject: string;
	/** Key that changes; empty when the whole subject is added or removed. */
	readonly key: string;
	readonly before: string;
	readonly after: string;
}

type Subject = {readonly subject: string; readonly values: ReadonlyMap<string, unknown>};

function collectSubjects(declaration: Declaration): Map<string, Subject> {
	const named = new Map<string, Subject>();
	const add = (subject: string, values: CallPolicy | ServicePolicy | LinkBudget) => {
		named.set(subject, {subject, values: new Map(Object.entries(values))});
	};

	for (const policy of declaration.services) {
		add(`service ${policy.service}`, policy);
	}

	for (const policy of declaration.calls) {
		add(`${policy.service} for ${policy.customer}`, policy);
	}

	for (const link of declaration.links) {
		add(`link ${link.regions.join(' ')}`, link);
	}

	return named;
}

function formatValue(value: unknown): string {
	return Array.isArray(value) ? value.join(', ') : String(value);
}

function diffSubject(before: Subject, after: Subject): PlannedChange[] {
	const changes: PlannedChange[] = [];
	for (const [key, value] of after.values) {
		const [from, to] = [formatValue(before.values.get(key)), formatValue(value)];
		if (from !== to) {
			const {subject} = after;
			changes.push({kind: ChangeKind.Changed, subject, key, before: from, after: to});
		}
	}

	return changes;
}

/**
 * @param before - the accepted declaration; undefined before the first change.
 * @param after - the new declaration.
 * @returns all differences, sorted by subject.
 */
export function planChanges(before: Declaration | undefined, after: Declaration): PlannedChange[] {
	const old = before ? collectSubjects(before) : new Map<string, Subject>();
	const wanted = collectSubjects(after);
	const names = [...new Set([...old.keys(), ...wanted.keys()])].toSorted();
	return names.flatMap((subject) => {
		const [was, is] = [old.get(subject), wanted.get(subject)];
		if (was && is) {
			return diffSubject(was, is);
		}

		const kind = is ? ChangeKind.Added : ChangeKind.Removed;
		return [{kind, subject, key: '', before: '', after: ''}];
	});
}

/**
 * @param change - one difference.
 * @returns a human-readable line.
 */
export function formatChange(change: PlannedChange): string {
	const {kind, subject, key, before, after} = change;
	switch (kind) {
		case ChangeKind.Added: {
			return `+ ${subject}`;
		}

		case ChangeKind.Removed: {
			return `- ${subject}`;
		}

		case ChangeKind.Changed: {
			return `~ ${subject}: ${key} ${before} -> ${after}`;
		}
	}
}
