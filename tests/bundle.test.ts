import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {readDeployedCommand} from '../scaffold/deployment/deployed-command.js';
import {eventually, Mesh} from '../scaffold/mesh/mesh.js';

describe('the deployed program', () => {
	const mesh = new Mesh(2, readDeployedCommand());

	beforeAll(async () => {
		const {status} = spawnSync(process.execPath, ['deploy/bundle/build.mjs'], {stdio: 'inherit'});
		expect(status).toBe(0);
		await mesh.startStore();
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it('serves requests out of its code cache', async () => {
		const first = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		const second = await mesh.addNode({zone: 'b', region: 'one', service: 'beta'});
		await mesh.configure([{host: 'a.example', prefix: '/a/', kind: 'safe', service: 'alpha'}]);
		await mesh.settle();
		await eventually(async () => (await mesh.statusFor(second, {path: '/a/1'})) === 200);
		for (const node of [first, second]) {
			expect(mesh.output(node)).not.toContain('code cache');
		}
	});
});
