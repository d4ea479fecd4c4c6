/** Free addresses and ports of the loopback range, and small helpers. */
import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';

/** @param {number} duration - time to wait, in ms. */
export const sleep = async (duration) =>
	new Promise((resolve) => {
		setTimeout(resolve, duration);
	});

export const listen = async (server, port, address) =>
	new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, address, () => {
			server.off('error', reject);
			resolve();
		});
	});

const isFree = async (address, port) => {
	const server = createServer();
	try {
		await listen(server, port, address);
		return true;
	} catch {
		return false;
	} finally {
		server.close();
	}
};

/**
 * @param {number} count - number of machines.
 * @returns a free first port, the same on all machines, and the addresses of the machines.
 */
export const findPlaces = async (count, portsPerMachine = 8) => {
	for (let attempt = 0; attempt < 50; attempt += 1) {
		const prefix = `127.${randomInt(64, 250)}.${randomInt(1, 250)}`;
		const port = randomInt(20_000, 30_000);
		const addresses = Array.from({length: count}, (_, i) => `${prefix}.${10 + i}`);
		const checks = addresses.flatMap((address) =>
			Array.from({length: portsPerMachine}, async (_, i) => isFree(address, port + i)),
		);
		// eslint-disable-next-line no-await-in-loop
		const results = await Promise.all(checks);
		if (results.every(Boolean)) {
			return {addresses, port};
		}
	}

	throw new Error('no free loopback ports');
};
