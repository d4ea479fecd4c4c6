import {createHmac, createSecretKey, timingSafeEqual, type KeyObject} from 'node:crypto';
import {createSocket, type Socket} from 'node:dgram';
import {decodeGossip, encodeGossip, type GossipMessage} from '../membership/index.js';
import {parseEndpoint} from '../settings/index.js';
import {bindPort} from '../net/index.js';

/** Why a datagram was dropped. The values are part of the metrics. */
export enum DatagramReject {
	TooShort = 'too-short',
	BadSeal = 'bad-seal',
	BadMessage = 'bad-message',
}

/** What a socket needs from its owner. */
export interface GossipSocketOwner {
	readonly secret: string;
	onMessage(message: GossipMessage): void;
	onReject(reason: DatagramReject): void;
	/**
	 * @param to - id of the receiver.
	 * @param bytes - bytes on the wire, headers of IP and UDP included.
	 */
	onSent(to: string, bytes: number): void;
}

const sealBytes = 8;
const ipv4Family = 4;
/** Bytes of the headers of IPv4 and UDP. */
const packetOverhead = 28;

/** Sends and receives gossip over UDP; each datagram is sealed with the shared secret. */
export class GossipSocket {
	// Receivers are named by IP number, so that there is nothing to look up.
	private readonly socket: Socket = createSocket({
		type: 'udp4',
		lookup(address, _options, done) {
			done(null, address, ipv4Family);
		},
	});

	private readonly key: KeyObject;

	constructor(private readonly owner: GossipSocketOwner) {
		this.key = createSecretKey(owner.secret, 'utf8');
		this.socket.on('message', (datagram) => {
			this.receive(datagram);
		});
		this.socket.on('error', () => {
			// A receiver that is gone is found out by its silence.
		});
	}

	/**
	 * @param address - IP number.
	 * @param port - UDP port.
	 */
	async bind(address: string, port: number): Promise<void> {
		await bindPort(this.socket, (done) => {
			this.socket.bind(port, address, done);
		});
	}

	/**
	 * @param to - id of the receiver, which is its address.
	 * @param message - what to send.
	 */
	send(to: string, message: GossipMessage): void {
		const endpoint = parseEndpoint(to);
		if (!endpoint) {
			return;
		}

		const body = encodeGossip(message);
		const seal = this.seal(body);
		const length = seal.length + body.length;
		this.socket.send([seal, body], endpoint.port, endpoint.address, () => undefined);
		this.owner.onSent(to, length + packetOverhead);
	}

	/** Closes the socket. */
	close(): void {
		this.socket.close();
	}

	private receive(datagram: Uint8Array): void {
		if (datagram.length <= sealBytes) {
			this.owner.onReject(DatagramReject.TooShort);
			return;
		}

		const body = datagram.subarray(sealBytes);
		if (!timingSafeEqual(this.seal(body), datagram.subarray(0, sealBytes))) {
			this.owner.onReject(DatagramReject.BadSeal);
			return;
		}

		let message: GossipMessage;
		try {
			message = decodeGossip(body);
		} catch {
			this.owner.onReject(DatagramReject.BadMessage);
			return;
		}

		this.owner.onMessage(message);
	}

	private seal(body: Uint8Array): Uint8Array {
		const digest = createHmac('sha256', this.key).update(body).digest();
		return digest.subarray(0, sealBytes);
	}
}
