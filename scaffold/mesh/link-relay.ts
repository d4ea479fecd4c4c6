/** Stands before the link port of a node, TCP and UDP, and can let its open connections go silent. */
import {createSocket} from 'node:dgram';
import {connect, createServer, type Server, type Socket} from 'node:net';

interface RelayedConnection {
	readonly near: Socket;
	readonly far: Socket;
	isSilent: boolean;
}

export class LinkRelay {
	private readonly connections = new Set<RelayedConnection>();
	private readonly server: Server;
	private readonly datagrams = createSocket('udp4');

	constructor(
		/** Address at which other nodes reach the node. */
		readonly address: string,
		private readonly target: string,
		private readonly port: number,
	) {
		this.server = createServer({allowHalfOpen: true, noDelay: true}, (near) => {
			this.accept(near);
		});
	}

	async listen(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.server.listen(this.port, this.address, resolve);
		});
		this.datagrams.on('message', (message) => {
			this.datagrams.send(message, this.port, this.target);
		});
		await new Promise<void>((resolve) => {
			this.datagrams.bind(this.port, this.address, resolve);
		});
	}

	/**
	 * From now on nothing passes on open connections, neither bytes nor their end; later ones work.
	 * @param isChosen - whether a connection goes silent.
	 */
	silence(isChosen: () => boolean = () => true): void {
		for (const connection of this.connections) {
			connection.isSilent ||= isChosen();
		}
	}

	/** Resets all open connections. */
	reset(): void {
		for (const {near, far} of this.connections) {
			near.resetAndDestroy();
			far.resetAndDestroy();
		}
	}

	close(): void {
		this.server.close();
		this.datagrams.close();
		for (const {near, far} of this.connections) {
			near.destroy();
			far.destroy();
		}
	}

	private accept(near: Socket): void {
		const far = connect({host: this.target, port: this.port, allowHalfOpen: true, noDelay: true});
		const connection = {near, far, isSilent: false};
		this.connections.add(connection);
		this.pass(connection, near, far);
		this.pass(connection, far, near);
	}

	private pass(connection: RelayedConnection, from: Socket, to: Socket): void {
		from.on('data', (chunk: Uint8Array) => {
			if (!connection.isSilent) {
				to.write(chunk);
			}
		});
		from.on('end', () => {
			if (!connection.isSilent) {
				to.end();
			}
		});
		from.on('error', () => undefined);
		from.once('close', () => {
			if (!connection.isSilent) {
				this.connections.delete(connection);
				to.destroy();
			}
		});
	}
}
