/**
 * Routing policies on the same arrivals and the same seeds: the product's own against baselines and
 * an oracle that knows the true queues. Pure decisions on a clock of its own; nothing is timed.
 */
import process from 'node:process';
import {Admission, type AdmissionRequest} from '../src/backend/index.js';
import {Deadline, RefusalReason, type LoadReport} from '../src/call/index.js';
import {createLocalMember, MemberPhase, type Member} from '../src/membership/index.js';
import {createRandom, type Random} from '../src/random/index.js';
import {percentilesOf} from '../src/replay/index.js';
import {
	ExpectedWaitPolicy,
	LeastOutstandingPolicy,
	RandomPolicy,
	RoundRobinPolicy,
	StaleReportPolicy,
	type RoutingPolicy,
	type RoutingQuery,
} from '../src/routing/index.js';
import {EventClock} from './event-clock.js';

const executors = 4;
const ingresses = 12;
const slots = 10;
const queue = 40;
const meanService = 20;
const linkDelay = 0.5;
const timeout = 2000;
const length = 30_000;
const warmUp = 5000;
const seeds = [1, 2, 3];
const maxBounces = 2;
const maxAttempts = 3;
const oracleLimit = 1.3;

/** How one case differs from steady load. */
interface Case {
	readonly name: string;
	/** Share of the slots that is busy on the mean. */
	readonly load: number;
	/** Factor on the arrivals at a time. */
	readonly burst?: (at: number) => number;
	/** Factor on the service time of an executor at a time. */
	readonly slowness?: (executor: number, at: number) => number;
	/** Whether an executor fails at once at a time. */
	readonly isFailing?: (executor: number, at: number) => boolean;
}

const cases: readonly Case[] = [
	{name: 'steady 70%', load: 0.7},
	{name: 'steady 90%', load: 0.9},
	{name: 'burst 3x 50 ms', load: 0.6, burst: (at) => (at % 2000 < 50 ? 3 : 1)},
	{name: 'straggler 10x', load: 0.5, slowness: (executor) => (executor === 0 ? 10 : 1)},
	{
		name: 'straggler shifts',
		load: 0.5,
		slowness: (executor, at) => (executor === Math.floor(at / 3000) % 4 ? 10 : 1),
	},
	{name: 'fails fast', load: 0.5, isFailing: (executor) => executor === 0},
	{
		name: 'cold server',
		load: 0.6,
		slowness: (executor, at) => (executor === 0 && at < 15_000 ? 4 : 1),
	},
];

type World = {
	readonly clock: EventClock;
	readonly admissions: Admission[];
	readonly members: Member[];
};

/** Takes the executor with the shortest true wait; no real ingress can know it. */
class OraclePolicy implements RoutingPolicy {
	constructor(
		private readonly world: World,
		private readonly setup: Case,
	) {}

	choose({candidates}: RoutingQuery): Member {
		let best = candidates[0]!;
		let bestTime = Number.POSITIVE_INFINITY;
		for (const candidate of candidates) {
			const time = this.trueTime(this.world.members.indexOf(candidate));
			if (time < bestTime) {
				best = candidate;
				bestTime = time;
			}
		}

		return best;
	}

	recordSent(): void {
		// The oracle needs no memory.
	}

	recordEnded(): void {
		// The oracle needs no memory.
	}

	private trueTime(executor: number): number {
		const now = this.world.clock.now();
		const admission = this.world.admissions[executor]!;
		if (this.setup.isFailing?.(executor, now)) {
			return Number.MAX_VALUE;
		}

		const service = meanService * (this.setup.slowness?.(executor, now) ?? 1);
		const ahead = Math.max(0, admission.inFlight + admission.queued + 1 - slots);
		return service * (1 + ahead / slots) + admission.inFlight / 1000;
	}
}

interface Outcome {
	readonly durations: number[];
	good: number;
	failed: number;
	refused: number;
	calls: number;
	attempts: number;
}

/** Drives one service with many ingresses. */
class Experiment {
	private readonly world: World;
	private readonly policies: RoutingPolicy[];
	private readonly outcome: Outcome = {
		durations: [],
		good: 0,
		failed: 0,
		refused: 0,
		calls: 0,
		attempts: 0,
	};

	private readonly random: Random;

	constructor(
		private readonly setup: Case,
		create: (world: World, random: Random) => RoutingPolicy,
		seed: number,
		private readonly canBounce: boolean,
	) {
		const clock = new EventClock();
		const members = Array.from({length: executors}, (_, i) => ({
			...createLocalMember(`10.0.0.${i + 1}:7001`, 1, {region: 'r', zone: 'z'}),
			phase: MemberPhase.Serving,
			service: 's',
			slots,
		}));
		const admissions = members.map(() => new Admission(clock, {slots, queue}));
		this.world = {clock, admissions, members};
		this.random = createRandom(seed);
		this.policies = Array.from({length: ingresses}, (_, i) =>
			create(this.world, createRandom(seed * 1000 + i)),
		);
	}

	run(): Outcome {
		this.scheduleArrival();
		this.world.clock.runUntil(length + timeout);
		return this.outcome;
	}

	private scheduleArrival(): void {
		const {clock} = this.world;
		const rate = (this.setup.load * executors * slots) / meanService;
		const factor = this.setup.burst?.(clock.now()) ?? 1;
		const gap = -Math.log(1 - this.random.next()) / (rate * factor);
		clock.after(gap, () => {
			if (clock.now() < length) {
				this.arrive();
				this.scheduleArrival();
			}
		});
	}

	private arrive(): void {
		const {clock} = this.world;
		const policy = this.policies[this.random.below(ingresses)]!;
		// Log-normal-like: most calls are near the mean, a few take several times as long.
		const service =
			meanService * (0.5 + this.random.next()) * (this.random.below(50) === 0 ? 3 : 1);
		const call = {
			startedAt: clock.now(),
			service,
			bounces: 0,
			attempts: 0,
			tried: new Set<Member>(),
		};
		this.outcome.calls += 1;
		this.attempt(policy, call);
	}

	private attempt(policy: RoutingPolicy, call: CallState): void {
		const {clock, members} = this.world;
		const left = members.filter((member) => !call.tried.has(member));
		const candidates = left.length > 0 ? left : members;
		const timeLeft = timeout - (clock.now() - call.startedAt);
		const member = policy.choose({candidates, timeLeft});
		const executor = members.indexOf(member);
		call.attempts += 1;
		call.tried.add(member);
		this.outcome.attempts += 1;
		const sentAt = clock.now();
		policy.recordSent(member.id);
		clock.after(linkDelay, () => {
			this.execute(executor, call, (reason, load) => {
				clock.after(linkDelay, () => {
					policy.recordEnded(member.id, sentAt, load);
					this.end(policy, call, reason);
				});
			});
		});
	}

	private execute(
		executor: number,
		call: CallState,
		told: (reason: RefusalReason | undefined, load: LoadReport) => void,
	): void {
		const {clock, admissions} = this.world;
		const admission = admissions[executor]!;
		const ticket: AdmissionRequest = {
			customer: 'c',
			share: 1,
			deadline: new Deadline(call.startedAt + timeout),
			objective: new Deadline(call.startedAt + timeout),
			priority: 0,
			work: call.service,
			canRetryElsewhere: this.canBounce && call.bounces < maxBounces,
			start: () => {
				const isFailing = this.setup.isFailing?.(executor, clock.now()) ?? false;
				const slowness = this.setup.slowness?.(executor, clock.now()) ?? 1;
				clock.after(isFailing ? 1 : call.service * slowness, () => {
					admission.release(ticket, isFailing);
					told(isFailing ? RefusalReason.BackendLost : undefined, {
						...admission.report(),
						slowdown: 1,
					});
				});
			},
			refuse(reason) {
				told(reason, {...admission.report(), slowdown: 1});
			},
		};
		admission.submit(ticket);
	}

	private end(policy: RoutingPolicy, call: CallState, reason: RefusalReason | undefined): void {
		const duration = this.world.clock.now() - call.startedAt;
		if (reason === RefusalReason.Busy) {
			call.bounces += 1;
			if (call.bounces >= maxBounces) {
				call.tried.clear();
			}

			this.attempt(policy, call);
			return;
		}

		const isOverQueue =
			reason === RefusalReason.QueueFull || reason === RefusalReason.DeadlineTooShort;
		if (isOverQueue && call.attempts - call.bounces < maxAttempts) {
			this.attempt(policy, call);
			return;
		}

		this.note(call, duration, reason);
	}

	private note(call: CallState, duration: number, reason: RefusalReason | undefined): void {
		if (call.startedAt < warmUp) {
			return;
		}

		if (reason === undefined) {
			this.outcome.durations.push(duration);
			this.outcome.good += 1;
		} else if (reason === RefusalReason.BackendLost) {
			this.outcome.failed += 1;
		} else {
			this.outcome.refused += 1;
		}
	}
}

type CallState = {
	readonly startedAt: number;
	readonly service: number;
	bounces: number;
	attempts: number;
	readonly tried: Set<Member>;
};

interface Contender {
	readonly name: string;
	readonly canBounce: boolean;
	readonly create: (world: World, random: Random, setup: Case) => RoutingPolicy;
}

const contenders: readonly Contender[] = [
	{
		name: 'expected wait',
		canBounce: true,
		create: (world, random) =>
			new ExpectedWaitPolicy({clock: world.clock, random, self: () => world.members[0]!}),
	},
	{
		name: 'without bounce',
		canBounce: false,
		create: (world, random) =>
			new ExpectedWaitPolicy({clock: world.clock, random, self: () => world.members[0]!}),
	},
	{name: 'random', canBounce: false, create: (_world, random) => new RandomPolicy(random)},
	{name: 'round robin', canBounce: false, create: () => new RoundRobinPolicy()},
	{
		name: 'least outstanding',
		canBounce: false,
		create: (_world, random) => new LeastOutstandingPolicy(random),
	},
	{name: 'stale report', canBounce: false, create: () => new StaleReportPolicy()},
	{
		name: 'oracle',
		canBounce: false,
		create: (world, _random, setup) => new OraclePolicy(world, setup),
	},
];

let isMissed = false;
console.log(
	`seeds ${seeds.join(', ')}; ${ingresses} ingresses, ${executors} executors of ${slots} slots, mean ${meanService} ms`,
);
for (const setup of cases) {
	console.log(`\n${setup.name}`);
	console.log('  policy               p50     p99   p99.9  answered %  failed %  attempts a call');
	const p99s = new Map<string, number>();
	for (const contender of contenders) {
		const durations: number[] = [];
		const sum = {good: 0, failed: 0, refused: 0, calls: 0, attempts: 0};
		for (const seed of seeds) {
			const create = (world: World, random: Random) => contender.create(world, random, setup);
			const outcome = new Experiment(setup, create, seed, contender.canBounce).run();
			durations.push(...outcome.durations);
			sum.good += outcome.good;
			sum.failed += outcome.failed;
			sum.refused += outcome.refused;
			sum.calls += outcome.calls;
			sum.attempts += outcome.attempts;
		}

		const total = sum.good + sum.failed + sum.refused;
		const {p50, p99, p999} = percentilesOf(durations);
		// Calls that failed or were refused count as the slowest, or quick failures would win.
		const share = sum.good / total;
		const all = [...durations, ...Array.from({length: total - sum.good}, () => timeout)];
		p99s.set(contender.name, percentilesOf(all).p99);
		console.log(
			[
				`  ${contender.name.padEnd(18)}`,
				p50.toFixed(1).padStart(6),
				p99.toFixed(1).padStart(7),
				p999.toFixed(1).padStart(7),
				(share * 100).toFixed(2).padStart(10),
				((sum.failed / total) * 100).toFixed(2).padStart(10),
				(sum.attempts / sum.calls).toFixed(2).padStart(12),
			].join(' '),
		);
	}

	const own = p99s.get('expected wait')!;
	const best = Math.min(
		...contenders
			.filter((item) => !item.canBounce && item.name !== 'oracle' && item.name !== 'without bounce')
			.map((item) => p99s.get(item.name)!),
	);
	const ratio = own / p99s.get('oracle')!;
	const isStraggler = setup.name.startsWith('straggler');
	const isBad = own > best || (isStraggler && ratio > oracleLimit);
	isMissed ||= isBad;
	console.log(
		`  p99 with losses: own ${own.toFixed(1)}, best baseline ${best.toFixed(1)}, against the oracle ${ratio.toFixed(2)} -> ${isBad ? 'MISSED' : 'met'}`,
	);
}

process.exitCode = isMissed && process.argv.includes('--check') ? 1 : 0;
