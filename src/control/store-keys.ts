/** Names of rows and objects in the platform's store. */

/** The row that decides which revision is accepted. */
export const headKey = 'declaration/head';

/** Start of the rows of accepted revisions. */
export const historyPrefix = 'declaration/history/';

/** Start of the rows of zones that are in use. */
export const zonePrefix = 'zones/';

/** Start of the rows that tell who took over the keys of a node. */
export const handoverPrefix = 'handover/';

const revisionDigits = 12;

/**
 * @param hash - hash of a content.
 * @returns the name of its object.
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
 * @returns the start of the rows in which zones acknowledge it.
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

/** Start of the rows of the nodes. */
export const memberPrefix = 'members/';
