import type {Clock, Undo} from '../src/clock/index.js';

type ScheduledEvent = {at: number; order: number; run: () => void};

/**
 * Simulated clock that advances directly to the next scheduled event. Events are kept in a binary
 * heap, so that scheduling stays cheap with many pending events.
 */
export class EventClock implements Clock {
	private readonly heap: ScheduledEvent[] = [];
	private time = 0;
	private order = 0;

	now(): number {
		return this.time;
	}

	wallNow(): number {
		return this.time;
	}

	after(delay: number, run: () => void): Undo {
		this.order += 1;
		const event = {at: this.time + delay, order: this.order, run};
		this.push(event);
		return () => {
			event.run = () => undefined;
		};
	}

	repeat(period: number, run: () => void): Undo {
		let isStopped = false;
		const fire = () => {
			if (!isStopped) {
				run();
				this.after(period, fire);
			}
		};

		this.after(period, fire);
		return () => {
			isStopped = true;
		};
	}

	/**
	 * Runs all events that are due up to and including `end`, in order of their times; events with the
	 * same time run in the order in which they were scheduled.
	 *
	 * @param end - time in ms at which the clock stands afterwards.
	 */
	runUntil(end: number): void {
		for (let event = this.heap[0]; event && event.at <= end; event = this.heap[0]) {
			this.pop();
			this.time = event.at;
			event.run();
		}

		this.time = end;
	}

	/**
	 * Like {@link runUntil}, but lets promises settle after each event.
	 *
	 * @param end - time in ms at which the clock stands afterwards.
	 */
	async runSettled(end: number): Promise<void> {
		await settle();
		for (let event = this.heap[0]; event && event.at <= end; event = this.heap[0]) {
			this.pop();
			this.time = event.at;
			event.run();
			await settle();
		}

		this.time = end;
	}

	private push(event: ScheduledEvent): void {
		this.heap.push(event);
		let i = this.heap.length - 1;
		while (i > 0) {
			const parent = Math.floor((i - 1) / 2);
			if (!isBefore(this.heap[i]!, this.heap[parent]!)) {
				break;
			}

			this.swap(i, parent);
			i = parent;
		}
	}

	private pop(): void {
		const last = this.heap.pop()!;
		if (this.heap.length === 0) {
			return;
		}

		this.heap[0] = last;
		let i = 0;
		for (;;) {
			const child = this.smallerChild(i);
			if (child === undefined || !isBefore(this.heap[child]!, this.heap[i]!)) {
				return;
			}

			this.swap(i, child);
			i = child;
		}
	}

	private smallerChild(i: number): number | undefined {
		const [left, right] = [2 * i + 1, 2 * i + 2];
		if (left >= this.heap.length) {
			return undefined;
		}

		const hasRight = right < this.heap.length;
		return hasRight && isBefore(this.heap[right]!, this.heap[left]!) ? right : left;
	}

	private swap(i: number, j: number): void {
		[this.heap[i], this.heap[j]] = [this.heap[j]!, this.heap[i]!];
	}
}

async function settle(): Promise<void> {
	await new Promise<void>((resolve) => {
		setImmediate(resolve);
	});
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}
