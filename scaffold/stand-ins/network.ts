/**
 * Stand-in for the network between availability zones: relays TCP and UDP with the delay of each
 * pair of zones, cuts pairs of regions, loses datagrams, and counts bytes between regions.
 */
import {createSocket} from 'node:dgram';
import {createServer, Socket} from 'node:net';
import {createServer as createHttpServer} from 'node:http';
import process from 'node:process';
import {createRandom} from '../../src/random/index.js';
import {relayOctetOffset} from '../deployment/relay-octet.js';

/** A place; its number is the second octet of the addresses in it. */
export interface ZonePlace {
	readonly octet: number;
	readonly region: string;
	readonly zone: string;
}

/** An address that is relayed to another. */
export interface Relay {
	readonly listen: string;
	readonly target: string;
	readonly port: number;
	readonly isUdp: boolean;
}

export interface NetworkPlan {
	readonly zones: readonly ZonePlace[];
	readonly relays: readonly Relay[];
	/** One-way delay between zones of a region, in ms. */
	readonly zoneDelay: number;
	/** One-way delay between regions, in ms. */
	readonly regionDelay: number;
	readonly control: {readonly address: string; readonly port: number};
	readonly seed: number;
}

interface Faults {
	/** Regions that cannot reach each other region. */
	cutRegions: string[];
	/** Zones that cannot reach any other zone. */
	cutZones: string[];
	/** Share of datagrams that are lost, from 0 to 1. */
	loss: number;
}

const plan = JSON.parse(process.argv[2] ?? '{}') as NetworkPlan;
const faults: Faults = {cutRegions: [], cutZones: [], loss: 0};
const random = createRandom(plan.seed);
const bytes = new Map<string, number>();
const sockets = new Set<Connection>();

interface Connection {
	readonly from: ZonePlace | undefined;
	readonly to: ZonePlace | undefined;
	readonly client: Socket;
	readonly upstream: Socket;
	isFrozen: boolean;
}

function placeOf(address: string): ZonePlace | undefined {
	const octet = Number(address.split('.')[1]) % relayOctetOffset;
	return plan.zones.find((zone) => zone.octet === octet);
}

function delayBetween(from: ZonePlace | undefined, to: ZonePlace | undefined): number {
	if (!from || !to || from.octet === to.octet) {
		return 0;
	}

	return from.region === to.region ? plan.zoneDelay : plan.regionDelay;
}

function isCut(from: ZonePlace | undefined, to: ZonePlace | undefined): boolean {
	if (!from || !to || from.octet === to.octet) {
		return false;
	}

	const isRegionCut =
		from.region !== to.region &&
		(faults.cutRegions.includes(from.region) || faults.cutRegions.includes(to.region));
	return isRegionCut || faults.cutZones.includes(from.zone) || faults.cutZones.includes(to.zone);
}

function count(
	from: ZonePlace | undefined,
	to: ZonePlace | undefined,
	kind: string,
	size: number,
): void {
	if (from && to && from.region !== to.region) {
		const key = `${from.region}>${to.region} ${kind}`;
		bytes.set(key, (bytes.get(key) ?? 0) + size);
	}
}

/** Passes chunks on after a delay, in order, and holds the sender back when the receiver is slow. */
function pipeDelayed(
	source: Socket,
	target: Socket,
	delay: number,
	counted: (size: number) => void,
): void {
	source.on('data', (chunk: Buffer) => {
		counted(chunk.length);
		const pass = () => {
			if (!target.destroyed && !target.write(chunk)) {
				source.pause();
				target.once('drain', () => source.resume());
			}
		};

		if (delay === 0) {
			pass();
		} else {
			setTimeout(pass, delay);
		}
	});
	source.once('end', () => setTimeout(() => target.end(), delay));
	source.once('close', () => setTimeout(() => target.destroy(), delay));
	source.on('error', () => source.destroy());
}

function relayTcp({listen, target, port}: Relay): void {
	const to = placeOf(target);
	createServer({noDelay: true}, (client) => {
		const from = placeOf(client.remoteAddress ?? '');
		const upstream = new Socket();
		const entry: Connection = {from, to, client, upstream, isFrozen: false};
		sockets.add(entry);
		client.once('close', () => sockets.delete(entry));
		client.on('error', () => client.destroy());
		if (isCut(from, to)) {
			freeze(entry);
			return;
		}

		upstream.setNoDelay(true);
		upstream.connect(port, target);
		const delay = delayBetween(from, to);
		pipeDelayed(client, upstream, delay, (size) => {
			count(from, to, 'tcp', size);
		});
		pipeDelayed(upstream, client, delay, (size) => {
			count(to, from, 'tcp', size);
		});
	}).listen(port, listen);
}

function relayUdp({listen, target, port}: Relay): void {
	const to = placeOf(target);
	const socket = createSocket('udp4');
	socket.on('message', (message, remote) => {
		const from = placeOf(remote.address);
		if (isCut(from, to) || random.next() < faults.loss) {
			return;
		}

		const overhead = 28;
		count(from, to, 'udp', message.length + overhead);
		setTimeout(
			() => {
				socket.send(message, port, target);
			},
			delayBetween(from, to),
		);
	});
	socket.bind(port, listen);
}

// A cut is silent: neither side hears of it. Once it is healed, what was frozen is reset.
function freeze(connection: Connection): void {
	connection.isFrozen = true;
	connection.client.pause();
	connection.upstream.pause();
}

function applyCuts(): void {
	for (const connection of sockets) {
		if (isCut(connection.from, connection.to)) {
			freeze(connection);
		} else if (connection.isFrozen) {
			connection.client.destroy();
			connection.upstream.destroy();
		}
	}
}

for (const relay of plan.relays) {
	relayTcp(relay);
	if (relay.isUdp) {
		relayUdp(relay);
	}
}

createHttpServer((req, res) => {
	const chunks: string[] = [];
	req.setEncoding('utf8');
	req.on('data', (chunk: string) => chunks.push(chunk));
	req.on('end', () => {
		if (req.method === 'POST') {
			Object.assign(faults, JSON.parse(chunks.join('')) as Partial<Faults>);
			applyCuts();
		}

		res.end(JSON.stringify({bytes: Object.fromEntries(bytes), faults}));
	});
}).listen(plan.control.port, plan.control.address, () => {
	process.stdout.write('ready\n');
});
process.on('SIGTERM', () => {
	process.exit(0);
});
