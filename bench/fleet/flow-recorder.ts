import {second, type Millis} from '../../src/clock/index.js';
import {Distance, distanceBetween, type Member} from '../../src/membership/index.js';
import {zoneOf} from '../../src/routing/index.js';
import type {Deployment} from './workload.js';

/** Calls and bytes that crossed the borders of zones. */
export interface FlowOutcome {
	/** Price of the bytes, in answers of the lowest priority. */
	readonly cost: number;
	/** Share of the attempts that left their zone. */
	readonly leavingShare: number;
	/** Share of the attempts that two zones sent to each other within the same second. */
	readonly mutualShare: number;
	/** Mean change of the leaving share of a zone from one second to the next. */
	readonly change: number;
	/** Leaving share of each zone, by second. */
	readonly leaving: ReadonlyArray<readonly number[]>;
}

type Window = {total: number; sent: number[][]};

const window: Millis = second;
/** Size of the headers and framing of a request and its answer. */
const overheadBytes = 700;
const kilobyte = 1000;

/** Records which zones send calls to which others. */
export class FlowRecorder {
	private readonly windows: Window[] = [];
	private cost = 0;

	constructor(private readonly deployment: Deployment) {}

	/** Records that an attempt is sent at a time since the start of the episode. */
	recordAttempt(from: Member, to: Member, at: Millis): void {
		const flows = this.windowAt(at);
		if (flows) {
			flows.total += 1;
			flows.sent[this.indexOf(from)]![this.indexOf(to)]! += 1;
		}
	}

	/** Records the transfer of an attempt and, if there is one, of its answer. */
	recordBytes(from: Member, to: Member, at: Millis, answerBytes: number): void {
		const {otherZoneCost, otherRegionCost} = this.deployment;
		const distance = distanceBetween(from, to);
		if (this.windowAt(at) && distance !== Distance.SameZone) {
			const price = distance === Distance.SameRegion ? otherZoneCost : otherRegionCost;
			this.cost += (price * (overheadBytes + answerBytes)) / kilobyte;
		}
	}

	/** @returns the outcome of the whole episode. */
	outcome(): FlowOutcome {
		let [total, left, mutual] = [0, 0, 0];
		const leaving: number[][] = [];
		for (const flows of this.windows) {
			total += flows.total;
			const shares: number[] = [];
			for (const [from, sent] of flows.sent.entries()) {
				const all = sent.reduce((sum, count) => sum + count, 0);
				left += all - sent[from]!;
				shares.push(all > 0 ? (all - sent[from]!) / all : 0);
				for (const [to, count] of sent.entries()) {
					mutual += to === from ? 0 : Math.min(count, flows.sent[to]![from]!);
				}
			}

			leaving.push(shares);
		}

		return {
			cost: this.cost,
			leavingShare: left / Math.max(1, total),
			mutualShare: mutual / Math.max(1, total),
			change: meanChange(leaving),
			leaving,
		};
	}

	private indexOf(member: Member): number {
		return this.deployment.zones.findIndex((place) => zoneOf(place) === zoneOf(member));
	}

	private windowAt(at: Millis): Window | undefined {
		if (at < 0) {
			return undefined;
		}

		const count = this.deployment.zones.length;
		const index = Math.floor(at / window);
		while (this.windows.length <= index) {
			const sent = Array.from({length: count}, () => Array.from({length: count}, () => 0));
			this.windows.push({total: 0, sent});
		}

		return this.windows[index];
	}
}

function meanChange(leaving: ReadonlyArray<readonly number[]>): number {
	let [sum, count] = [0, 0];
	for (const [index, shares] of leaving.slice(1).entries()) {
		for (const [zone, share] of shares.entries()) {
			sum += Math.abs(share - leaving[index]![zone]!);
			count += 1;
		}
	}

	return sum / Math.max(1, count);
}
