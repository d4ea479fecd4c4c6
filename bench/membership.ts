/**
 * Cost of membership for one node, from its own view: the messages that it sends and gets, with the
 * real codec, at several sizes of the deployment. Peers are stand-ins that answer as peers would.
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
const seconds = 60;
const wireOverhead = 28 + 8;
const bytesLimit = 11_000;
const cpuLimit = 4;
const memoryLimit = 128;
const spreadLimit = 5000;
const kilobyte = 1024;
const hash = '0123456789abcdef';
const news = {accepted: 10, acceptedHash: hash, staged: 10, stagedHash: hash};
const briefPerMessage = Math.floor(defaultGossipSettings.piggybackBytes / 9);

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

/** One node among stand-ins that know the same members. */
class View {
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
					this.sent += encodeGossip(message).length + wireOverhead;
					this.answer(to, message);
				},
				mayProbe: () => true,
				knownRevisions: () => news,
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

	/** Takes the news of lost members that a peer would send along with its probes. */
	hearLoss(lost: readonly Member[], from: Member): void {
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
		const spent = process.cpuUsage(before);
		return {sent: this.sent, received: this.received, cpu: (spent.user + spent.system) / 1000};
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
			piggyback: {brief, full: [], rumors: [], revisions: news},
		};
	}

	private receive(message: GossipMessage): void {
		const bytes = encodeGossip(message);
		this.received += bytes.length + wireOverhead;
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

let isMissed = false;
console.log(
	'members  sent B/s  got B/s  CPU % of a core  heap KB a member   loss of a zone: members  last heard ms  sent B/s  got B/s',
);
for (const size of sizes) {
	globalThis.gc?.();
	const heapBefore = process.memoryUsage().heapUsed;
	const members = createMembers(size);
	const view = new View(members);
	globalThis.gc?.();
	const heap = (process.memoryUsage().heapUsed - heapBefore) / kilobyte;
	const steps = (seconds * 1000) / defaultGossipSettings.probePeriod;
	const steady = view.measure(() => {
		for (let i = 0; i < steps; i++) {
			view.step(members.slice(1));
		}
	});

	const lost = members.filter((member) => member.zone === 'zone-3' && member !== members[0]);
	const survivors = members.filter((member) => member.zone !== 'zone-3' && member !== members[0]);
	let lastHeard = 0;
	const startedAt = view.clock.now();
	const loss = view.measure(() => {
		// Peers pass on what they have heard, as much as fits on a probe, one probe and one ack a period.
		let next = 0;
		while (next < lost.length || view.pending > 0) {
			for (let i = 0; i < 2 && next < lost.length; i++) {
				view.hearLoss(lost.slice(next, next + briefPerMessage), survivors[i]!);
				next += briefPerMessage;
				lastHeard = view.clock.now() - startedAt;
			}

			view.step(survivors);
		}
	});
	const lossSeconds = Math.max(1, (view.clock.now() - startedAt) / 1000);
	const cpu = (steady.cpu / (seconds * 1000)) * 100;
	const rates = [
		steady.sent / seconds,
		steady.received / seconds,
		loss.sent / lossSeconds,
		loss.received / lossSeconds,
	];
	const isBad =
		rates.some((rate) => rate > bytesLimit) ||
		cpu > cpuLimit ||
		heap / kilobyte > memoryLimit ||
		lastHeard > spreadLimit ||
		view.countSuspects() < lost.length;
	isMissed ||= isBad;
	console.log(
		[
			String(size).padStart(7),
			rates[0]!.toFixed(0).padStart(9),
			rates[1]!.toFixed(0).padStart(8),
			cpu.toFixed(2).padStart(16),
			(heap / size).toFixed(2).padStart(17),
			String(lost.length).padStart(26),
			lastHeard.toFixed(0).padStart(14),
			rates[2]!.toFixed(0).padStart(9),
			rates[3]!.toFixed(0).padStart(8),
			isBad ? ' MISSED' : ' met',
		].join(' '),
	);
}

process.exitCode = isMissed && process.argv.includes('--check') ? 1 : 0;
