import type {Declaration} from './declaration.js';

/** The items of a declaration that were added, changed or removed between two revisions. */
export interface DeclarationDelta {
	/** All fields of the newer declaration except its lists of items. */
	readonly fields: Readonly<Record<string, unknown>>;
	readonly lists: Readonly<Record<string, ListDelta>>;
}

/** Changes of one list of items. */
export interface ListDelta {
	/** Keys of the items that are no longer in the list. */
	readonly removed: readonly string[];
	/** Items that were added or changed. */
	readonly changed: readonly unknown[];
}

type Fields = Readonly<Record<string, unknown>>;
type Item = Readonly<Record<string, unknown>>;
type Items = readonly Item[];

/** Lists of a declaration, with the fields that identify an item; each list is sorted by them. */
const listKeys: Readonly<Record<string, readonly string[]>> = {
	services: ['service'],
	calls: ['service', 'customer'],
	links: ['regions'],
	routes: ['name'],
	customers: ['customer'],
};

/**
 * @param base - an earlier declaration.
 * @param next - a later one.
 * @returns the difference, from which {@link applyDelta} makes the later declaration out of the earlier one.
 */
export function diffDeclarations(base: Declaration, next: Declaration): DeclarationDelta {
	const lists: Record<string, ListDelta> = {};
	const fields: Record<string, unknown> = {};
	const nextFields = asFields(next);
	const baseFields = asFields(base);
	for (const [name, value] of Object.entries(nextFields)) {
		const keys = listKeys[name];
		if (keys) {
			lists[name] = diffLists(asItems(baseFields[name]), asItems(value), keys);
		} else {
			fields[name] = value;
		}
	}

	return {fields, lists};
}

/**
 * @param base - the declaration that the delta starts from.
 * @param delta - the difference.
 * @returns the later declaration, with each list sorted. It equals the original if the lists of that were sorted too;
 * compare the hash of its content.
 */
export function applyDelta(base: Declaration, delta: DeclarationDelta): Declaration {
	const baseFields = asFields(base);
	const fields: Record<string, unknown> = {...delta.fields};
	for (const [name, {removed, changed}] of Object.entries(delta.lists)) {
		const keys = listKeys[name] ?? [];
		const items = new Map(asItems(baseFields[name]).map((item) => [keyOf(item, keys), item]));
		for (const key of removed) {
			items.delete(key);
		}

		for (const item of asItems(changed)) {
			items.set(keyOf(item, keys), item);
		}

		fields[name] = sortItems([...items.values()], keys);
	}

	return sortDeclaration(fields as unknown as Declaration); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/**
 * Brings the lists and fields of a declaration into one order, so that equal declarations have the same content.
 * @param declaration - a declaration.
 * @returns the same declaration, sorted.
 */
export function sortDeclaration(declaration: Declaration): Declaration {
	const sorted: Record<string, unknown> = {};
	const fields = asFields(declaration);
	for (const name of Object.keys(fields).toSorted((a, b) => compareText(a, b))) {
		const keys = listKeys[name];
		const value = fields[name];
		sorted[name] = keys && Array.isArray(value) ? sortItems(asItems(value), keys) : value;
	}

	return sorted as unknown as Declaration; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

function diffLists(base: Items, next: Items, keys: readonly string[]): ListDelta {
	const known = new Map(base.map((item) => [keyOf(item, keys), JSON.stringify(item)]));
	const changed: Item[] = [];
	for (const item of next) {
		const key = keyOf(item, keys);
		if (known.get(key) !== JSON.stringify(item)) {
			changed.push(item);
		}

		known.delete(key);
	}

	return {removed: [...known.keys()], changed};
}

function sortItems(items: Items, keys: readonly string[]): Item[] {
	const keyed = items.map((item) => ({key: keyOf(item, keys), item}));
	keyed.sort((a, b) => compareText(a.key, b.key));
	return keyed.map(({item}) => item);
}

function keyOf(item: Item, keys: readonly string[]): string {
	return keys.map((key) => String(item[key])).join('\n');
}

function compareText(a: string, b: string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}

function asFields(declaration: Declaration): Fields {
	return {...declaration};
}

function asItems(value: unknown): Items {
	return Array.isArray(value) ? (value as Items) : [];
}
