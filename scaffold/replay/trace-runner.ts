import {performance} from 'node:perf_hooks';
import {
	FaultKind,
	TraceEventKind,
	type BackendEntry,
	type BackendPeak,
	type Books,
	type CallerEntry,
	type CallEvent,
	type Departure,
	type FaultEvent,
	type TraceEvent,
} from '../../src/replay/index.js';
import {createRandom} from '../../src/random/index.js';
import {sendCall} from '../deployment/caller.js';
import {ports, type Deployment, type Pair} from '../deployment/deployment.js';

/** What came of the operators' steps of a trace. */
export interface OperatorStep {
	readonly at: number;
	readonly text: string;
}

/** The result of a replay. */
export interface RunResult {
	readonly books: Books;
	readonly faults: readonly FaultEvent[];
	readonly steps: readonly OperatorStep[];
}

/** Callers learn within this time that a node leaves. */
const noticeTime = 200;
const resendPause = 100;

/** Replays a trace against a deployment and keeps the books. */
export class TraceRunner {
	private readonly callers: CallerEntry[] = [];
	private readonly backends: BackendEntry[] = [];
	private readonly peaks: BackendPeak[] = [];
	private readonly departures: Departure[] = [];
	private readonly stops: Array<{name: string; exitCode: number | undefined}> = [];
	private readonly steps: OperatorStep[] = [];
	private readonly gone = new Set<string>();
	private readonly random = createRandom(7);
	private startedAt = 0;
	private wallStart = 0;

	constructor(private readonly deployment: Deployment) {}

	/**
	 * @param events - events in order of time.
	 * @returns the books, once the last call has ended.
	 */
	async run(events: readonly TraceEvent[]): Promise<RunResult> {
		this.startedAt = performance.now();
		this.wallStart = Date.now();
		const work: Array<Promise<void>> = [];
		for (const event of events) {
			await this.waitUntil(event.at);
			work.push(
				event.kind === TraceEventKind.Call ? this.sendCopies(event) : this.applyFault(event),
			);
		}

		await Promise.all(work);
		for (const pair of this.deployment.pairs) {
			this.collectBook(pair);
		}

		const faults = events.filter((event) => event.kind === TraceEventKind.Fault);
		const books: Books = {
			callers: this.callers,
			backends: this.backends,
			peaks: this.peaks,
			departures: this.departures,
			stops: this.stops,
		};
		return {books, faults, steps: this.steps};
	}

	private get elapsed(): number {
		return performance.now() - this.startedAt;
	}

	private async waitUntil(at: number): Promise<void> {
		const delay = at - this.elapsed;
		if (delay > 0) {
			await new Promise((resolve) => {
				setTimeout(resolve, delay);
			});
		}
	}

	private async sendCopies(event: CallEvent): Promise<void> {
		for (let copy = 0; copy <= event.resends; copy++) {
			const entry = await this.send(event);
			this.callers.push(entry);
			if (entry.outcome === 'answered') {
				return;
			}

			await this.waitUntil(this.elapsed + resendPause);
		}
	}

	private async send(event: CallEvent): Promise<CallerEntry> {
		const sentAt = this.elapsed;
		const pair = this.nodeFor(event.zone);
		const {service, customer, method, path, key, timeout, id: callId} = event;
		const answer = await sendCall({
			node: `${pair.address}:${ports.caller}`,
			service,
			customer,
			method,
			path,
			key,
			timeout,
			callId,
		});
		const {status, outcome, reason, attempts, revision, duration, body} = answer;
		return {
			callId,
			sentAt,
			duration,
			service,
			isIdempotent: event.isIdempotent,
			hasKey: key !== undefined,
			timeout,
			status,
			outcome,
			reason,
			attempts,
			revision,
			answeredCallId: readCallId(body),
			isWhole: body.endsWith('}') || body.endsWith('}\n'),
		};
	}

	// A caller knows the nodes of its zone and leaves out those that it knows to be gone.
	private nodeFor(zone: string): Pair {
		const alive = this.deployment.pairs.filter((pair) => !this.gone.has(pair.node));
		const near = alive.filter((pair) => pair.zone === zone);
		const pool = near.length > 0 ? near : alive;
		return pool[this.random.below(pool.length)]!;
	}

	private async applyFault(event: FaultEvent): Promise<void> {
		const {deployment} = this;
		switch (event.fault) {
			case FaultKind.Kill: {
				this.gone.add(event.target);
				deployment.group.signal(event.target, 'SIGKILL');
				break;
			}

			case FaultKind.Restart: {
				await this.restart(event.target);
				break;
			}

			case FaultKind.Freeze: {
				this.gone.add(event.target);
				deployment.group.signal(event.target, 'SIGSTOP');
				break;
			}

			case FaultKind.Thaw: {
				deployment.group.signal(event.target, 'SIGCONT');
				this.gone.delete(event.target);
				break;
			}

			case FaultKind.Stop: {
				await this.stop(event.target);
				break;
			}

			case FaultKind.Drain: {
				const backend = `backend-${event.target}`;
				this.departures.push({backend, knownAt: this.elapsed, backAt: undefined});
				await deployment.setBehaviour(deployment.pair(event.target), {isDraining: true});
				break;
			}

			case FaultKind.Slow: {
				await deployment.setBehaviour(deployment.pair(event.target), {slowness: event.amount ?? 1});
				break;
			}

			case FaultKind.FailFast: {
				const isFailingFast = (event.amount ?? 0) > 0;
				await deployment.setBehaviour(deployment.pair(event.target), {isFailingFast});
				break;
			}

			case FaultKind.StoreDown: {
				await deployment.setStoreFaults({isDown: true});
				break;
			}

			case FaultKind.StoreUp: {
				await deployment.setStoreFaults({isDown: false});
				break;
			}

			case FaultKind.LoseAnswers: {
				await deployment.setStoreFaults({lostAnswers: event.amount ?? 1});
				break;
			}

			case FaultKind.CutRegion: {
				await deployment.setNetworkFaults({cutRegions: [event.target]});
				break;
			}

			case FaultKind.Heal: {
				await deployment.setNetworkFaults({cutRegions: []});
				break;
			}

			case FaultKind.Apply: {
				const {output} = await deployment.operate('apply', event.target);
				this.steps.push({at: this.elapsed, text: output.trim()});
				break;
			}
		}
	}

	private async restart(name: string): Promise<void> {
		const pair = this.deployment.pairs.find((item) => item.node === name || item.backend === name)!;
		this.endDepartures(pair);
		if (pair.node === name) {
			await this.deployment.startNode(pair);
			await this.deployment.waitFor(`${name} to be ready`, async () => {
				const status = await this.deployment.status(pair);
				return status.state === 'ready';
			});
		} else {
			await this.deployment.startBackend(pair);
		}

		this.gone.delete(name);
	}

	private endDepartures(pair: Pair): void {
		for (const departure of this.departures) {
			if (departure.backend === pair.backend) {
				departure.backAt ??= this.elapsed;
			}
		}
	}

	private async stop(name: string): Promise<void> {
		const pair = this.deployment.pairs.find((item) => item.node === name)!;
		this.departures.push({backend: pair.backend, knownAt: this.elapsed, backAt: undefined});
		const member = this.deployment.group.get(name);
		this.deployment.group.signal(name, 'SIGTERM');
		// Callers are told by the node itself: its connections end with their next answer.
		setTimeout(() => this.gone.add(name), noticeTime);
		this.stops.push({name, exitCode: await member.ended});
	}

	private collectBook(pair: Pair): void {
		const plan = this.deployment.plan.services.find((service) => service.name === pair.service)!;
		let mostRunning = 0;
		for (const {callId, startedAt, running} of this.deployment.book(pair)) {
			this.backends.push({callId, backend: pair.backend, startedAt: startedAt - this.wallStart});
			mostRunning = Math.max(mostRunning, running);
		}

		this.peaks.push({backend: pair.backend, mostRunning, slots: plan.slots});
	}
}

function readCallId(body: string): string {
	try {
		return (JSON.parse(body) as {callId?: string}).callId ?? '';
	} catch {
		return '';
	}
}
