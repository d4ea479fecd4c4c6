import {cpSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {sendCall} from '../scaffold/deployment/caller.js';
import {Deployment, ports} from '../scaffold/deployment/deployment.js';
import {small} from '../scaffold/deployment/place.js';

const deployment = new Deployment(small, 31);
let versions = 0;

/** @returns a new copy of the example declaration in which the deadline of stock is replaced. */
function createDeclaration(deadline: string): string {
	versions += 1;
	const folder = join(deployment.folder, `declaration-${versions}`);
	cpSync('examples/small', folder, {recursive: true});
	const file = join(folder, 'templates', 'stock.ini');
	writeFileSync(file, readFileSync(file, 'utf8').replace('5 s', deadline));
	return folder;
}

async function revisionsInForce(): Promise<number[]> {
	const states = await Promise.all(deployment.pairs.map(async (pair) => deployment.status(pair)));
	return states.map((status) => status.revision.inForce);
}

async function applyDeclaration(
	folder: string,
	...args: string[]
): Promise<{code: number; revision: number}> {
	const {code, output} = await deployment.operate('apply', folder, '--json', ...args);
	const {revision} = JSON.parse(output) as {revision: number};
	return {code, revision};
}

async function waitForRevision(revision: number): Promise<void> {
	await deployment.waitFor(`revision ${revision} everywhere`, async () => {
		const all = await revisionsInForce();
		return all.every((item) => item === revision);
	});
}

beforeAll(async () => {
	await deployment.open();
});

afterAll(async () => {
	await deployment.stop();
});

describe('configuration', () => {
	it('puts an accepted revision in force on every node', async () => {
		const {code, revision} = await applyDeclaration(createDeclaration('6 s'));
		expect(code).toBe(0);
		await waitForRevision(revision);
	});

	it('returns the same revision when the same declaration is applied again', async () => {
		const folder = createDeclaration('7 s');
		const first = await applyDeclaration(folder);
		const second = await applyDeclaration(folder);
		expect(second).toEqual(first);
	});

	it('accepts one of two concurrent changes and reports the conflict for the other', async () => {
		const {revision} = await applyDeclaration(createDeclaration('8 s'));
		const base = ['--on', String(revision)];
		const results = await Promise.all([
			deployment.operate('apply', createDeclaration('9 s'), ...base),
			deployment.operate('apply', createDeclaration('10 s'), ...base),
		]);
		expect(results.map((result) => result.code).toSorted((a, b) => a - b)).toEqual([0, 3]);
		const loser = results.find((result) => result.code === 3)!;
		expect(loser.output).toMatch(/conflict: revision \d+/v);
		expect(loser.output).toContain('stock for kuressaare: deadline');
		await waitForRevision(revision + 1);
	});

	it('refuses an invalid file with the file, line and field of the finding', async () => {
		const folder = createDeclaration('soon');
		const {code, output} = await deployment.operate('apply', folder);
		expect(code).toBe(2);
		expect(output).toMatch(
			/templates\/stock\.ini:\d+: \[call\] deadline: "soon" is out of bounds/v,
		);
	});

	it('applies a change even if responses of the store are lost', async () => {
		await deployment.setStoreFaults({lostAnswers: 2});
		const {code, revision} = await applyDeclaration(createDeclaration('11 s'));
		await deployment.setStoreFaults({lostAnswers: 0});
		expect(code).toBe(0);
		await waitForRevision(revision);
	});

	it('accepts a revision only once a region that was cut off is reachable again', async () => {
		const [before] = await revisionsInForce();
		await deployment.setNetworkFaults({cutRegions: ['parnu']});
		const {code, revision} = await applyDeclaration(createDeclaration('12 s'), '--wait', '2');
		expect(code).toBe(5);
		expect(await revisionsInForce()).toEqual([before, before, before]);
		await deployment.setNetworkFaults({cutRegions: []});
		await waitForRevision(revision);
	});

	it('withdraws a revision that is not accepted in time when --withdraw is set', async () => {
		const [before] = await revisionsInForce();
		await deployment.setNetworkFaults({cutRegions: ['parnu']});
		const {code} = await applyDeclaration(createDeclaration('13 s'), '--wait', '2', '--withdraw');
		await deployment.setNetworkFaults({cutRegions: []});
		expect(code).toBe(1);
		const {code: next, revision} = await applyDeclaration(createDeclaration('14 s'));
		expect(next).toBe(0);
		expect(revision).toBeGreaterThan(before!);
		await waitForRevision(revision);
	});

	it('keeps the revision in force while the store is down, also on nodes that start', async () => {
		const [revision] = await revisionsInForce();
		await deployment.setStoreFaults({isDown: true});
		const refused = await deployment.operate('apply', createDeclaration('15 s'), '--wait', '1');
		expect(refused.code).toBe(4);
		const [pair] = deployment.pairs;
		deployment.group.signal(pair!.node, 'SIGKILL');
		await deployment.startNode(pair!);
		await deployment.waitFor('the node to be ready', async () => {
			const status = await deployment.status(pair!);
			return status.state === 'ready' && status.revision.inForce === revision;
		});
		await deployment.setStoreFaults({isDown: false});
		await deployment.waitUntilReady();
	});

	it('completes a change after the apply command has exited', async () => {
		const {code, revision} = await applyDeclaration(createDeclaration('16 s'), '--wait', '0');
		expect(code).toBe(5);
		await waitForRevision(revision);
	});

	it('brings a node that was frozen during a change to the new revision', async () => {
		const pair = deployment.pairs[1]!;
		deployment.group.signal(pair.node, 'SIGSTOP');
		await deployment.waitFor('the node to be given up', async () => {
			const answer = await sendCall({
				node: `${deployment.pairs[0]!.address}:${ports.caller}`,
				service: 'stock',
				customer: 'kuressaare',
				callId: 'probe',
			});
			return answer.outcome === 'answered';
		});
		const {revision} = await applyDeclaration(createDeclaration('17 s'), '--wait', '1');
		deployment.group.signal(pair.node, 'SIGCONT');
		await waitForRevision(revision);
	});

	it('keeps an accepted revision, and accepts a further one, when the store was restored from before it', async () => {
		const {version} = await deployment.storeCounts();
		const {revision: lost} = await applyDeclaration(createDeclaration('18 s'));
		await waitForRevision(lost);
		await deployment.restoreStore(version);
		await deployment.waitFor('the revision in the history', async () => {
			const {output} = await deployment.operate('history', '--json');
			const records = JSON.parse(output) as Array<{revision: number}>;
			return records.some(({revision}) => revision === lost);
		});
		const {code, revision} = await applyDeclaration(createDeclaration('19 s'));
		expect({code, revision}).toEqual({code: 0, revision: lost + 1});
		await waitForRevision(revision);
	});

	it('restores the revision in force after all nodes restart', async () => {
		const [revision] = await revisionsInForce();
		for (const pair of deployment.pairs) {
			deployment.group.signal(pair.node, 'SIGKILL');
		}

		await Promise.all(deployment.pairs.map(async (pair) => deployment.startNode(pair)));
		await waitForRevision(revision!);
		await deployment.waitUntilReady();
	});
});
