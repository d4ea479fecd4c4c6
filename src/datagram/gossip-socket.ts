import {createHmac, createSecretKey, timingSafeEqual, type KeyObject} from 'node:crypto';
import {createSocket, type Socket} from 'node:dgram';
import {decodeGossip, encodeGossip, type GossipMessage} from '../membership/index.js';
import {decodeQuota, encodeQuota, isQuotaDatagram, type QuotaMessage} from '../quota/index.js';
import {parseEndpoint} from '../settings/index.js';
import {bindPort} from '../net/index.js';

/** Why a datagram was dropped. The values are part of the metrics. */
export enum DatagramReject {
	TooShort = 'too-short',
	BadSeal = 'bad-seal',
	BadMessage = 'bad-message',
}

/** Secret and callbacks that the owner of a {@link GossipSocket} provides. */
export interface GossipSocketOwner {
	readonly secret: string;
	onMessage(message: GossipMessage): void;
	/** Called for messages about quotas of customers, which share the socket. */
	onQuotaMessage(message: QuotaMessage): void;
	onReject(reason: DatagramReject): void;
	/**
	 * @param to - id of the receiver.
	 * @param bytes - size on the wire in bytes, including the IP and UDP headers.
	 */
	onSent(to: string, bytes: number): void;
}

const tagBytes = 8;
const ipv4Family = 4;
/** Size of the IPv4 and UDP headers. */
const headerBytes = 28;

/**
 * Sends and receives gossip messages over UDP. Each datagram starts with a truncated HMAC-SHA-256 over
 * its body, keyed with the shared secret.
 */
export class GossipSocket {
	// Receivers are given as IP addresses, so no DNS lookup is needed.
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
			// Send errors are ignored: failure detection notices an unreachable receiver by missing acks.
		});
	}

	/**
	 * @param address - IP address.
	 * @param port - UDP port.
	 */
	async bind(address: string, port: number): Promise<void> {
		await bindPort(this.socket, (done) => {
			this.socket.bind(port, address, done);
		});
	}

	/**
	 * @param to - id of the receiver, which is its address.
	 * @param message - the message.
	 */
	send(to: string, message: GossipMessage): void {
		this.sendBody(to, encodeGossip(message));
	}

	/**
	 * @param to - id of the receiver, which is its address.
	 * @param message - the message.
	 */
	sendQuota(to: string, message: QuotaMessage): void {
		this.sendBody(to, encodeQuota(message));
	}

	/** Closes the socket. */
	close(): void {
		this.socket.close();
	}

	private sendBody(to: string, body: Uint8Array): void {
		const endpoint = parseEndpoint(to);
		if (!endpoint) {
			return;
		}

		const tag = this.computeTag(body);
		const length = tag.length + body.length;
		this.socket.send([tag, body], endpoint.port, endpoint.address, () => undefined);
		this.owner.onSent(to, length + headerBytes);
	}

	private receive(datagram: Uint8Array): void {
		if (datagram.length <= tagBytes) {
			this.owner.onReject(DatagramReject.TooShort);
			return;
		}

		const body = datagram.subarray(tagBytes);
		if (!timingSafeEqual(this.computeTag(body), datagram.subarray(0, tagBytes))) {
			this.owner.onReject(DatagramReject.BadSeal);
			return;
		}

		let deliver: () => void;
		try {
			deliver = this.decode(body);
		} catch {
			this.owner.onReject(DatagramReject.BadMessage);
			return;
		}

		deliver();
	}

	private decode(body: Uint8Array): () => void {
		if (isQuotaDatagram(body)) {
			const message = decodeQuota(body);
			return () => {
				this.owner.onQuotaMessage(message);
			};
		}

		const message = decodeGossip(body);
		return () => {
			this.owner.onMessage(message);
		};
	}

	private computeTag(body: Uint8Array): Uint8Array {
		const digest = createHmac('sha256', this.key).update(body).digest();
		return digest.subarray(0, tagBytes);
	}
}
