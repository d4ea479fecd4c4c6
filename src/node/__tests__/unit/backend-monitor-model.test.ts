import process from 'node:process';
import {describe, expect, it} from 'vitest';
import {BackendState} from '../../../backend/index.js';
import {ManualClock} from '../../../clock/index.js';
import {RevisionTracker} from '../../../declaration/index.js';
import type {Executor} from '../../../executor/index.js';
import type {Gossip} from '../../../membership/index.js';
import {silentLogger} from '../../../telemetry/index.js';
import {AnnouncedState, type Announcement} from '../../announcement.js';
import {AnnouncementEnd, BackendMonitor} from '../../backend-monitor.js';

/** What may happen between a backend server and its node. */
enum Step {
	Ping = 'ping',
	/** A ping of another writer with the id and the start of the server, and a high number. */
	OddNumber = 'odd-number',
	/** A ping of another writer with an unknown service. */
	OddService = 'odd-service',
	/** The last ping before the latest one arrives again. */
	LatePing = 'late-ping',
	Leaving = 'leaving',
	Deregistration = 'deregistration',
	/** The server crashes and starts again with the same id. */
	ServerRestart = 'server-restart',
	/** The node is killed and starts again. */
	NodeRestart = 'node-restart',
}

const steps = Object.values(Step);
/** All orders of so many steps are played; by hand, six take some minutes. */
const length = Number(process.env.MODEL_STEPS ?? 4);
const heartbeat = 1500;
const announcementTimeout = 6 * heartbeat;
const searchDuration = 4000;
const instance = 'i-1';

/** A backend server and its node. */
class Model {
	private readonly clock = new ManualClock(1000);
	private monitor = this.createMonitor(false);
	private born = 1;
	private sequence = 0;
	private readonly sent: Announcement[] = [];
	/** Whether the server has said that it leaves, and the node has acknowledged it. */
	private isAcknowledged = false;
	private isLeaving = false;
	private isGone = false;
	/** Until when a node that has started again asks the health path. */
	private searchUntil = 0;

	/**
	 * @param step - what happens next.
	 * @returns which promise of the node is broken; undefined if none is.
	 */
	play(step: Step): string | undefined {
		this.clock.advance(heartbeat);
		this.handle(step);
		this.askHealthPath();
		const isUsed = this.isInUse && this.isAcknowledged;
		return isUsed ? 'in use after its leaving was acknowledged' : undefined;
	}

	/** @returns which promise is broken after two more pings of a server that goes on. */
	finish(): string | undefined {
		if (this.isLeaving || this.isGone) {
			return undefined;
		}

		this.play(Step.Ping);
		this.play(Step.Ping);
		return this.isInUse ? undefined : 'not in use after two pings';
	}

	private get isInUse(): boolean {
		const {state, current} = this.monitor;
		const isServing = state === BackendState.Warming || state === BackendState.Serving;
		const isFound = current?.startedAt === undefined;
		return isServing && (isFound || current.startedAt === this.born);
	}

	private handle(step: Step): void {
		switch (step) {
			case Step.Ping: {
				this.ping();
				break;
			}

			case Step.OddNumber: {
				this.announce({sequence: this.sequence + 1000});
				break;
			}

			case Step.OddService: {
				this.announce({sequence: this.sequence + 1, service: 'unknown'});
				break;
			}

			case Step.LatePing: {
				const late = this.sent.at(-2);
				if (late) {
					this.monitor.handleAnnouncement(late);
				}

				break;
			}

			case Step.Leaving: {
				this.isLeaving = true;
				this.ping();
				break;
			}

			case Step.Deregistration: {
				this.isLeaving = true;
				this.isGone = true;
				this.isAcknowledged = true;
				this.monitor.handleDeparture({instance, startedAt: this.born});
				break;
			}

			case Step.ServerRestart: {
				this.born += 1;
				this.sequence = 0;
				this.isLeaving = false;
				this.isGone = false;
				this.isAcknowledged = false;
				break;
			}

			case Step.NodeRestart: {
				this.monitor = this.createMonitor(true);
				this.searchUntil = this.clock.now() + searchDuration;
				break;
			}
		}
	}

	// As the search for a running backend server does after a restart of the node.
	private askHealthPath(): void {
		const isSearching = this.clock.now() < this.searchUntil || this.monitor.isInDoubt;
		if (!isSearching || this.monitor.hasAnnounced || this.isGone) {
			return;
		}

		if (this.isLeaving) {
			this.monitor.handleUnready(instance);
		} else {
			this.announce({startedAt: undefined, sequence: undefined, warmUpLeft: undefined});
		}
	}

	private ping(): void {
		if (this.isGone) {
			return;
		}

		this.sequence += 1;
		const state = this.isLeaving ? AnnouncedState.Draining : AnnouncedState.Serving;
		const end = this.announce({state, sequence: this.sequence});
		this.isAcknowledged ||= this.isLeaving && end !== AnnouncementEnd.Refused;
	}

	private announce(change: Partial<Announcement>): AnnouncementEnd {
		const announcement = {
			service: 's',
			address: '127.0.0.1',
			port: 9,
			slots: 4,
			connections: 10,
			instance,
			state: AnnouncedState.Serving,
			healthPath: '',
			startedAt: this.born,
			sequence: this.sequence,
			warmUpLeft: 0,
			...change,
		};
		if (announcement.sequence === this.sequence) {
			this.sent.push(announcement);
		}

		return this.monitor.handleAnnouncement(announcement);
	}

	private createMonitor(isRestart: boolean): BackendMonitor {
		const ignore = () => undefined;
		const calls = ['attach', 'detach', 'drain', 'setLimits', 'setWarmUp'];
		const executor = Object.fromEntries(calls.map((name) => [name, ignore]));
		const gossip = {updateLocalMember: ignore, broadcastUpdates: ignore};
		return new BackendMonitor({
			clock: this.clock,
			logger: silentLogger,
			executor: executor as unknown as Executor,
			gossip: gossip as unknown as Gossip,
			revisions: new RevisionTracker(),
			announcementTimeout,
			isRestart,
			ownService: 's',
		});
	}
}

/** @returns the orders of so many steps, each as numbers of steps. */
function* allOrders(count: number): Generator<Step[]> {
	for (let number = 0; number < steps.length ** count; number += 1) {
		const digits = number.toString(steps.length).padStart(count, '0');
		yield [...digits].map((digit) => steps[Number.parseInt(digit, steps.length)]!);
	}
}

function findBroken(order: readonly Step[]): string | undefined {
	const model = new Model();
	const broken = order.map((step) => model.play(step)).find((promise) => promise !== undefined);
	return broken ?? model.finish();
}

/** @returns whether a server leaves behind a restart of its node, and then starts again with its id. */
function returnsBehindRestart(order: readonly Step[]): boolean {
	const restart = order.indexOf(Step.NodeRestart);
	const departure = order.indexOf(Step.Deregistration, restart + 1);
	return restart !== -1 && departure !== -1 && order.includes(Step.ServerRestart, departure);
}

describe(`a node beside a backend server, in all orders of ${length} steps`, () => {
	// Guards against an order of messages by which a node forgets a leaving, or loses a running server.
	it.each([
		['but those in the next test', false],
		['in which a server returns that left behind a restart of the node', true],
	])('keeps a leaving and has a running server in use after two pings, %s', (_, isReturn) => {
		const broken: string[] = [];
		let played = 0;
		for (const order of allOrders(length)) {
			if (returnsBehindRestart(order) === isReturn) {
				const promise = findBroken(order);
				played += 1;
				if (promise !== undefined) {
					broken.push(`${order.join(', ')}: ${promise}`);
				}
			}
		}

		expect(broken).toEqual([]);
		expect(played).toBeGreaterThan(0);
	});
});
