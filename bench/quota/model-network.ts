/** Datagrams between simulated nodes: delayed, lost, duplicated or cut. */
import type {EventClock} from '../event-clock.js';
import type {Random} from '../../src/random/index.js';

/** A place in the simulated network. */
export interface Place {
	readonly region: string;
	readonly zone: string;
}

export interface NetworkOptions {
	/** Share of the datagrams that are lost. */
	readonly loss: number;
	/** Share of the datagrams that arrive twice. */
	readonly duplicates: number;
	/** Share of the datagrams that are delayed by up to {@link maxExtraDelay}. */
	readonly slow: number;
}

/** Bytes sent, and datagrams by distance. */
export interface NetworkUse {
	datagrams: number;
	sameZoneBytes: number;
	otherZoneBytes: number;
	otherRegionBytes: number;
}

const sameZoneDelay = 0.3;
const otherZoneDelay = 0.9;
const otherRegionDelay = 8;
const maxExtraDelay = 300;
/** Size of the IPv4 and UDP headers and of the authentication tag. */
const headerBytes = 36;

export class ModelNetwork {
	readonly use: NetworkUse = {
		datagrams: 0,
		sameZoneBytes: 0,
		otherZoneBytes: 0,
		otherRegionBytes: 0,
	};

	private readonly cuts = new Set<(from: number, to: number) => boolean>();

	constructor(
		private readonly clock: EventClock,
		private readonly random: Random,
		private readonly options: NetworkOptions,
	) {}

	/** Cuts the paths between some nodes; returns a function that ends the cut. */
	cut(isCut: (from: number, to: number) => boolean): () => void {
		this.cuts.add(isCut);
		return () => {
			this.cuts.delete(isCut);
		};
	}

	isCut(from: number, to: number): boolean {
		return [...this.cuts].some((isCut) => isCut(from, to));
	}

	send(path: {from: number; to: number; a: Place; b: Place}, bytes: number, run: () => void): void {
		const {from, to, a, b} = path;
		this.account(a, b, bytes + headerBytes);
		const {random, options} = this;
		if (this.isCut(from, to) || random.next() < options.loss) {
			return;
		}

		const copies = random.next() < options.duplicates ? 2 : 1;
		for (let i = 0; i < copies; i++) {
			const extra = random.next() < options.slow ? random.next() * maxExtraDelay : 0;
			this.clock.after(delayBetween(a, b) * (1 + random.next()) + extra, run);
		}
	}

	private account(a: Place, b: Place, bytes: number): void {
		const {use} = this;
		use.datagrams += 1;
		if (a.region !== b.region) {
			use.otherRegionBytes += bytes;
		} else if (a.zone === b.zone) {
			use.sameZoneBytes += bytes;
		} else {
			use.otherZoneBytes += bytes;
		}
	}
}

/** @returns the time that a datagram takes, in ms. */
export function delayBetween(a: Place, b: Place): number {
	if (a.region !== b.region) {
		return otherRegionDelay;
	}

	return a.zone === b.zone ? sameZoneDelay : otherZoneDelay;
}
