/** Key of the row that names the accepted and the staged revision. */
export const headKey = 'declaration/head';

/** Key prefix of the rows of accepted revisions. */
export const historyPrefix = 'declaration/history/';

/** Key prefix of the rows of zones in use. */
export const zonePrefix = 'zones/';

/** Key prefix of the rows that name the successor that took over the keys of a node. */
export const handoverPrefix = 'handover/';

const revisionDigits = 12;

/**
 * @param hash - hash of a content.
 * @returns the name of its object in the object store.
 */
export function contentName(hash: string): string {
	return `declarations/${hash}`;
}

/**
 * @param revision - an accepted revision.
 * @returns the key of its row; the keys sort by revision.
 */
export function historyKey(revision: number): string {
	return `${historyPrefix}${String(revision).padStart(revisionDigits, '0')}`;
}

/**
 * @param revision - a staged revision.
 * @returns the key prefix of the rows in which zones acknowledge it.
 */
export function ackPrefix(revision: number): string {
	return `declaration/acks/${revision}/`;
}

/**
 * @param region - name of a region.
 * @param zone - name of an availability zone.
 * @returns the name of the zone within the deployment.
 */
export function zoneName(region: string, zone: string): string {
	return `${region}/${zone}`;
}

/** Key prefix of the roster's rows, one per node. */
export const memberPrefix = 'members/';
