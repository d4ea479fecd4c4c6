import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {Directory, Liveness, MemberPhase, type Member} from '../../../membership/index.js';
import {createRandom} from '../../../random/index.js';
import {QuotaBasis, QuotaGate, type QuotaVerdict} from '../../quota-gate.js';
import {defaultQuotaSettings} from '../../quota-limit.js';
import {QuotaMembers} from '../../quota-members.js';
import {
	QuotaMessageType,
	type QuotaMessage,
	type QuotaReport,
	type QuotaShares,
} from '../../quota-message.js';

const ids = Array.from({length: 10}, (_, i) => `10.0.0.${i + 1}:7001`);

function member(id: string): Member {
	return {
		id,
		incarnation: 1,
		version: 1,
		phase: MemberPhase.Serving,
		liveness: Liveness.Alive,
		region: 'r',
		zone: 'z',
		service: 's',
		slots: 4,
	};
}

/** A gate in a zone of ten nodes that is not the aggregator itself. */
class Fixture {
	readonly clock = new ManualClock();
	readonly sent: Array<{to: string; message: QuotaMessage}> = [];
	readonly directory = new Directory();
	readonly members: QuotaMembers;
	readonly gate: QuotaGate;
	limits = new Map([
		['big', {rate: 100, burst: 100}],
		['small', {rate: 1, burst: 1}],
	]);

	isAnswering = true;
	answer: Partial<QuotaShares> = {};

	constructor() {
		for (const id of ids) {
			this.directory.merge(member(id));
		}

		const probe = new QuotaMembers(this.directory, () => member(ids[0]!));
		const self = ids.find((id) => !probe.ranking.includes(id))!;
		this.members = new QuotaMembers(this.directory, () => this.directory.get(self)!);
		const ignore = () => undefined;
		this.gate = new QuotaGate({
			clock: this.clock,
			settings: defaultQuotaSettings,
			members: this.members,
			self: {id: self, incarnation: 1},
			random: createRandom(1),
			limitOf: (customer) => this.limits.get(customer),
			send: (to, message) => {
				this.send(to, message);
			},
			observer: {
				customerLimited: ignore,
				customerFreed: ignore,
				newsLost: ignore,
				newsRegained: ignore,
				aggregatorChanged: ignore,
				aggregatorStarted: ignore,
				reachChanged: ignore,
			},
		});
	}

	/** Admits a request; a decision that waits for an answer is given undefined. */
	admit(customer: string): QuotaVerdict | undefined {
		const verdict = this.gate.admit(customer);
		return verdict instanceof Promise ? undefined : verdict;
	}

	/** Makes the gate know an aggregator. */
	async warmUp(): Promise<void> {
		const verdict = this.gate.admit('big');
		this.clock.advance(2);
		await verdict;
		this.clock.advance(1000);
		await this.gate.admit('big');
		this.clock.advance(2);
		this.sent.length = 0;
	}

	private send(to: string, message: QuotaMessage): void {
		this.sent.push({to, message});
		const {type} = message;
		if (!this.isAnswering || type !== QuotaMessageType.Report) {
			return;
		}

		this.clock.after(1, () => {
			this.gate.handleShares({
				type: QuotaMessageType.Shares,
				sender: {id: to, incarnation: 1},
				sequence: message.batch.sequence,
				isLearning: false,
				reach: 1,
				shares: [],
				...this.answer,
			});
		});
	}
}

function reported(messages: ReadonlyArray<{message: QuotaMessage}>): number {
	return messages
		.map(({message}) => message as QuotaReport)
		.flatMap(({batch}) => batch.counts)
		.reduce((total, {admitted}) => total + admitted, 0);
}

describe('QuotaGate', () => {
	it('sends nothing for customers without a limit', () => {
		const fixture = new Fixture();
		expect(fixture.gate.admit('free')).toBeUndefined();
		fixture.clock.advance(10_000);
		expect(fixture.sent).toHaveLength(0);
	});

	it('asks the aggregator before the first request of an idle node, instead of using its small part', async () => {
		const fixture = new Fixture();
		const verdict = fixture.gate.admit('small');
		expect(verdict).toBeInstanceOf(Promise);
		fixture.clock.advance(2);
		await expect(verdict).resolves.toEqual({
			isAdmitted: true,
			basis: QuotaBasis.Shares,
			wait: 0,
		});
	});

	it('sends nothing more once its last counts are acknowledged', async () => {
		const fixture = new Fixture();
		await fixture.warmUp();
		fixture.clock.advance(20_000);
		const before = fixture.sent.length;
		fixture.clock.advance(60_000);
		expect(fixture.sent.length).toBe(before);
	});

	it('counts a returned token as not admitted', async () => {
		const fixture = new Fixture();
		await fixture.warmUp();
		const before = fixture.sent.length;
		for (let i = 0; i < 3; i++) {
			expect(fixture.admit('big')?.isAdmitted).toBe(true);
		}

		fixture.gate.giveBack('big');
		fixture.clock.advance(3000);
		// One more than the three less the returned one: the request of the warm-up that was not reported yet.
		expect(reported(fixture.sent.slice(before))).toBe(3);
	});

	it('runs the share of the requests that the aggregator tells', async () => {
		const fixture = new Fixture();
		fixture.answer = {shares: [{customer: 'big', share: 0.25, demand: 400, wait: 700}]};
		await fixture.warmUp();
		let run = 0;
		let wait = 0;
		for (let i = 0; i < 400; i++) {
			const verdict = fixture.admit('big');
			run += verdict?.isAdmitted ? 1 : 0;
			wait = Math.max(wait, verdict?.wait ?? 0);
			fixture.clock.advance(5);
		}

		expect(run).toBeGreaterThanOrEqual(99);
		expect(run).toBeLessThanOrEqual(101);
		expect(wait).toBe(700);
	});

	it('asks the next candidate when the aggregator does not answer', async () => {
		const fixture = new Fixture();
		await fixture.warmUp();
		fixture.isAnswering = false;
		fixture.admit('big');
		fixture.clock.advance(800);
		const targets = new Set(fixture.sent.map(({to}) => to));
		expect(targets.size).toBeGreaterThan(1);
		const last = fixture.sent.at(-1)!;
		expect((last.message as QuotaReport).isTakeover).toBe(true);
	});

	it('uses its part of the limit while no aggregator answers, and reports none of it', async () => {
		const fixture = new Fixture();
		await fixture.warmUp();
		fixture.isAnswering = false;
		fixture.clock.advance(1500);
		const waiting = fixture.gate.admit('big');
		fixture.clock.advance(100);
		const first = await waiting;
		expect(first?.basis).toBe(QuotaBasis.OwnPart);
		let run = 0;
		const seconds = 20;
		for (let i = 0; i < seconds * 100; i++) {
			run += fixture.admit('big')?.isAdmitted ? 1 : 0;
			fixture.clock.advance(10);
		}

		// A tenth of the rate, and at most a tenth of the burst with its overdraft at the start.
		expect(run).toBeGreaterThanOrEqual(seconds * 10 - 2);
		expect(run).toBeLessThanOrEqual(seconds * 10 + 15);
		fixture.sent.length = 0;
		fixture.isAnswering = true;
		fixture.clock.advance(1000);
		expect(reported(fixture.sent)).toBeLessThanOrEqual(1);
		expect(fixture.admit('big')?.basis).toBe(QuotaBasis.Shares);
	});

	it('keeps no state of customers that are no longer active', async () => {
		const fixture = new Fixture();
		for (let i = 0; i < 500; i++) {
			fixture.limits.set(`t${i}`, {rate: 1, burst: 1});
		}

		await fixture.warmUp();
		for (let i = 0; i < 500; i++) {
			fixture.admit(`t${i}`);
		}

		expect(fixture.gate.customers).toBeGreaterThan(400);
		fixture.clock.advance(30_000);
		const verdict = fixture.gate.admit('big');
		fixture.clock.advance(5);
		await verdict;
		expect(fixture.gate.customers).toBeLessThanOrEqual(2);
	});
});
