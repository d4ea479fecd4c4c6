/** Stands between the nodes on their link port: TCP and UDP, one relay in front of each node. */
import {createSocket} from 'node:dgram';
import {connect, createServer} from 'node:net';
import {listen} from './net.mjs';

export class Relay {
	pairs = new Set();

	constructor({address, target, port}) {
		Object.assign(this, {address, target, port});
	}

	async start() {
		this.server = createServer({allowHalfOpen: true}, (near) => {
			this.accept(near);
		});
		await listen(this.server, this.port, this.address);
		this.udp = createSocket('udp4');
		this.udp.on('message', (datagram) => {
			this.udp.send(datagram, this.port, this.target, () => undefined);
		});
		await new Promise((resolve) => {
			this.udp.bind(this.port, this.address, resolve);
		});
	}

	accept(near) {
		const far = connect({host: this.target, port: this.port, allowHalfOpen: true});
		const pair = {near, far, isSilent: false};
		this.pairs.add(pair);
		for (const [from, to] of [
			[near, far],
			[far, near],
		]) {
			from.setNoDelay(true);
			from.on('data', (chunk) => {
				if (!pair.isSilent) {
					to.write(chunk);
				}
			});
			from.on('end', () => {
				if (!pair.isSilent) {
					to.end();
				}
			});
			from.on('error', () => undefined);
			from.on('close', (hadError) => {
				if (!pair.isSilent) {
					this.pairs.delete(pair);
					if (hadError) {
						to.resetAndDestroy();
					} else {
						to.destroy();
					}
				}
			});
		}
	}

	/**
	 * From now on, nothing passes on the connections that are open, neither a reset nor an end. New connections work.
	 * @returns their number.
	 */
	silenceOpenConnections() {
		for (const pair of this.pairs) {
			pair.isSilent = true;
		}

		return this.pairs.size;
	}

	stop() {
		this.server?.close();
		this.udp?.close();
		for (const {near, far} of this.pairs) {
			near.destroy();
			far.destroy();
		}
	}
}
