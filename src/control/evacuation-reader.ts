import {storeSource, type EvacuatedZones} from '../evacuation/index.js';
import type {ChangePage} from '../store/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';

/** Collaborators of {@link EvacuationReader}. */
export interface EvacuationReaderDependencies {
	readonly logger: Logger;
	readonly zones: Pick<EvacuatedZones, 'merge'>;
	/**
	 * @param key - key of a row.
	 * @returns the availability zone that the row evacuates; undefined for a row of another meaning.
	 */
	evacuatedZone(key: string): string | undefined;
}

/** Bounds of the state, which travels in each gossip message: number of zones and length of a name. */
const maxZones = 32;
const maxNameLength = 64;

/**
 * Reads evacuations from the pages of the feed that a node follows. The rows at the position of the feed are
 * kept apart from what peers tell, as a page lists only the changes since the position before it.
 */
export class EvacuationReader {
	private rows = new Set<string>();

	constructor(private readonly deps: EvacuationReaderDependencies) {}

	/**
	 * @param page - rows or changes of the table, and their position.
	 * @param isSnapshot - whether the page lists all rows.
	 */
	read({changes, position}: ChangePage, isSnapshot: boolean): void {
		if (isSnapshot) {
			this.rows = new Set();
		}

		for (const {key, value} of changes) {
			const zone = this.deps.evacuatedZone(key);
			if (zone !== undefined) {
				this.apply(zone, value !== undefined);
			}
		}

		// All readers leave out the same rows, so that states at one position are equal.
		const zones = [...this.rows].toSorted((a, b) => (a < b ? -1 : 1)).slice(0, maxZones);
		this.deps.zones.merge({position, zones}, storeSource);
	}

	private apply(zone: string, isPresent: boolean): void {
		if (!isPresent) {
			this.rows.delete(zone);
			return;
		}

		const isNameValid = zone !== '' && zone.length <= maxNameLength;
		if (isNameValid) {
			this.rows.add(zone);
		}

		if (!isNameValid || this.rows.size > maxZones) {
			const {logger} = this.deps;
			logger.log(logEvents.evacuationIgnored, {zone: zone.slice(0, maxNameLength)});
		}
	}
}
