/**
 * Measures the cost of the membership protocol for one node: bytes sent and received with the real
 * codec, CPU time and heap, for several deployment sizes, in steady state and after the loss of an
 * availability zone. The peers are simulated and acknowledge pings.
 */
import process from 'node:process';
import {
	createLocalMember,
	decodeGossip,
	defaultGossipSettings,
	encodeGossip,
	Gossip,
	GossipType,
	Liveness,
	MemberPhase,
	memberHash,
	type GossipMessage,
	type Member,
} from '../src/membership/index.js';
import {ManualClock} from '../src/clock/index.js';
import {createRandom} from '../src/random/index.js';

const sizes = [100, 1000, 7800];
const zones = 7;
const regions = 3;
const steadySeconds = 60;
const wireOverheadBytes = 28 + 8;
/** Limit on each direction of the traffic. */
const limitBytesPerSecond = 11_000;
const cpuLimitPercent = 4;
const heapLimitMb = 128;
const propagationLimitMs = 5000;
const bytesPerKilobyte = 1024;
const hash = '0123456789abcdef';
const localRevisions = {accepted: 10, acceptedHash: hash, staged: 10, stagedHash: hash};
const updatesPerMessage = Math.floor(defaultGossipSettings.piggybackBytes / 9);

function createMembers(size: number): Member[] {
	return Array.from({length: size}, (_, i) => {
		const zone = i % zones;
		const place = {region: `region-${zone % regions}`, zone: `zone-${zone}`};
		const address = `10.${Math.floor(i / 65_536)}.${Math.floor(i / 256) % 256}.${i % 256}`;
		return {
			...createLocalMember(`${address}:7001`, 1_839_474_537_910_882 + i, place),
			phase: MemberPhase.Serving,
			service: `service-${Math.floor(i / 7)}`,
			slots: 10,
		};
	});
}

interface Cost {
	readonly sent: number;
	readonly received: number;
	readonly cpu: number;
}

/** The measured node, with simulated peers that know the same members. */
class MeasuredNode {
	readonly clock = new ManualClock();
	private readonly random = createRandom(1);
	private readonly gossip: Gossip;
	private sent = 0;
	private received = 0;
	private readonly inbox: GossipMessage[] = [];
	private readonly byId: ReadonlyMap<string, Member>;

	constructor(members: readonly Member[]) {
		this.byId = new Map(members.map((member) => [member.id, member]));
		this.gossip = new Gossip(members[0]!, {
			settings: defaultGossipSettings,
			clock: this.clock,
			random: this.random,
			host: {
				send: (to, message) => {
					this.sent += encodeGossip(message).length + wireOverheadBytes;
					this.answer(to, message);
				},
				mayProbe: () => true,
				knownRevisions: () => localRevisions,
				handleKnownRevisions: () => undefined,
				handleRumor: () => undefined,
				handleHeldRevision: () => undefined,
				handlePause: () => undefined,
			},
		});
		for (const member of members.slice(1)) {
			this.gossip.directory.merge(member);
		}
	}

	get pending(): number {
		return this.gossip.pendingUpdates;
	}

	countSuspects(): number {
		return [...this.gossip.directory.all()].filter((member) => member.liveness !== Liveness.Alive)
			.length;
	}

	/** Delivers a ping from a peer whose piggyback reports the lost members as suspect. */
	receiveLoss(lost: readonly Member[], from: Member): void {
		const brief = lost.map((member) => ({
			hash: memberHash(member),
			version: member.version,
			phase: member.phase,
			liveness: Liveness.Suspect,
		}));
		this.receive(this.ping(from, brief));
	}

	step(peers: readonly Member[]): void {
		this.gossip.tick();
		this.gossip.checkProbes();
		this.receive(this.ping(peers[this.random.below(peers.length)]!, []));
		for (const message of this.inbox.splice(0)) {
			this.receive(message);
		}

		this.clock.advance(defaultGossipSettings.probePeriod);
	}

	measure(work: () => void): Cost {
		const before = process.cpuUsage();
		this.sent = 0;
		this.received = 0;
		work();
		const cpuTime = process.cpuUsage(before);
		return {sent: this.sent, received: this.received, cpu: (cpuTime.user + cpuTime.system) / 1000};
	}

	private ping(
		from: Member,
		brief: Array<{hash: number; version: number; phase: MemberPhase; liveness: Liveness}>,
	): GossipMessage {
		const {id, incarnation, version} = from;
		return {
			type: GossipType.Ping,
			sender: {id, incarnation, version},
			sequence: 7,
			piggyback: {brief, full: [], rumors: [], revisions: localRevisions},
		};
	}

	private receive(message: GossipMessage): void {
		const bytes = encodeGossip(message);
		this.received += bytes.length + wireOverheadBytes;
		this.gossip.receive(decodeGossip(bytes));
	}

	private answer(to: string, message: GossipMessage): void {
		const member = this.byId.get(to);
		if (!member || message.type !== GossipType.Ping) {
			return;
		}

		const {id, incarnation, version} = member;
		const {piggyback} = this.ping(member, []) as Extract<GossipMessage, {type: GossipType.Ping}>;
		const sender = {id, incarnation, version};
		this.inbox.push({
			type: GossipType.Ack,
			sender,
			sequence: message.sequence,
			subject: id,
			piggyback,
		});
	}
}

let isAnyTargetMissed = false;
console.log(
	'members  sent B/s  rcv B/s  CPU % of a core  heap KB / member   loss of a zone: members  last rcvd. ms  sent B/s  rcv B/s',
);
for (const size of sizes) {
	globalThis.gc?.();
	const heapBefore = process.memoryUsage().heapUsed;
	const members = createMembers(size);
	const measured = new MeasuredNode(members);
	globalThis.gc?.();
	const heap = (process.memoryUsage().heapUsed - heapBefore) / bytesPerKilobyte;
	const steps = (steadySeconds * 1000) / defaultGossipSettings.probePeriod;
	const steady = measured.measure(() => {
		for (let i = 0; i < steps; i++) {
			measured.step(members.slice(1));
		}
	});

	const lost = members.filter((member) => member.zone === 'zone-3' && member !== members[0]);
	const survivors = members.filter((member) => member.zone !== 'zone-3' && member !== members[0]);
	let lastReceivedMs = 0;
	const startedAt = measured.clock.now();
	const loss = measured.measure(() => {
		// Peers piggyback as many updates as fit on a message; the node receives two such messages, a
		// probe and an ack, in each probe period.
		let next = 0;
		while (next < lost.length || measured.pending > 0) {
			for (let i = 0; i < 2 && next < lost.length; i++) {
				measured.receiveLoss(lost.slice(next, next + updatesPerMessage), survivors[i]!);
				next += updatesPerMessage;
				lastReceivedMs = measured.clock.now() - startedAt;
			}

			measured.step(survivors);
		}
	});
	const lossSeconds = Math.max(1, (measured.clock.now() - startedAt) / 1000);
	const cpu = (steady.cpu / (steadySeconds * 1000)) * 100;
	const rates = [
		steady.sent / steadySeconds,
		steady.received / steadySeconds,
		loss.sent / lossSeconds,
		loss.received / lossSeconds,
	];
	const isTargetMissed =
		rates.some((rate) => rate > limitBytesPerSecond) ||
		cpu > cpuLimitPercent ||
		heap / bytesPerKilobyte > heapLimitMb ||
		lastReceivedMs > propagationLimitMs ||
		measured.countSuspects() < lost.length;
	isAnyTargetMissed ||= isTargetMissed;
	console.log(
		[
			String(size).padStart(7),
			rates[0]!.toFixed(0).padStart(9),
			rates[1]!.toFixed(0).padStart(8),
			cpu.toFixed(2).padStart(16),
			(heap / size).toFixed(2).padStart(17),
			String(lost.length).padStart(26),
			lastReceivedMs.toFixed(0).padStart(14),
			rates[2]!.toFixed(0).padStart(9),
			rates[3]!.toFixed(0).padStart(8),
			isTargetMissed ? ' MISSED' : ' met',
		].join(' '),
	);
}

process.exitCode = isAnyTargetMissed && process.argv.includes('--check') ? 1 : 0;
