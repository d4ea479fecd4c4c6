/** Counts what ran for each customer against its quota. */
import type {CustomerLimit} from '../../src/quota/index.js';

/** What the model measured for one customer or for several. */
export interface BookSummary {
	readonly requests: number;
	readonly run: number;
	/** Requests that could have run in addition to those that ran, without exceeding the rate and the burst. */
	readonly lost: number;
	/** Highest count of any 5 s window as a share of what the window may hold. */
	readonly worst: number;
}

const windowMs = 5000;
const overage = 1.1;
const slack = 20;

/** Requests of one customer. The limit may change while time passes. */
export class QuotaBook {
	requests = 0;
	lost = 0;
	/** Times at which requests ran. */
	readonly runs: number[] = [];
	worst = 0;
	worstAt = 0;
	private level: number;
	private at = 0;
	private first = 0;
	private bound: number;

	constructor(private limit: CustomerLimit) {
		this.level = limit.burst;
		this.bound = boundOf(limit);
	}

	/** Changes the limit; the bound of a lowered one holds from `boundAt` on. */
	setLimit(limit: CustomerLimit): void {
		this.limit = limit;
	}

	/** Changes the bound of the windows. */
	bind(): void {
		this.bound = boundOf(this.limit);
	}

	admitted(at: number): void {
		this.requests += 1;
		this.advance(at);
		this.level -= 1;
		this.runs.push(at);
		while (this.runs[this.first]! <= at - windowMs) {
			this.first += 1;
		}

		const share = (this.runs.length - this.first) / this.bound;
		if (share > this.worst) {
			this.worst = share;
			this.worstAt = at;
		}
	}

	refused(at: number): void {
		this.requests += 1;
		this.advance(at);
		if (this.level >= 1) {
			this.lost += 1;
			this.level -= 1;
		}
	}

	private advance(at: number): void {
		const {rate, burst} = this.limit;
		this.level = Math.min(burst, this.level + ((at - this.at) / 1000) * rate);
		this.at = at;
	}
}

function boundOf({rate, burst}: CustomerLimit): number {
	return ((rate * windowMs) / 1000 + burst) * overage + slack;
}

/** @returns the sums over several books. */
export function summarize(books: Iterable<QuotaBook>): BookSummary {
	const summary = {requests: 0, run: 0, lost: 0, worst: 0};
	for (const book of books) {
		summary.requests += book.requests;
		summary.run += book.runs.length;
		summary.lost += book.lost;
		summary.worst = Math.max(summary.worst, book.worst);
	}

	return summary;
}
