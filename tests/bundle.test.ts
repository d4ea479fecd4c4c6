import {spawnSync} from 'node:child_process';
import {readdirSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {readDeployedCommand} from '../scaffold/deployment/deployed-command.js';
import {eventually, Mesh} from '../scaffold/mesh/mesh.js';

/** The operator's program, which is not part of the bundle. */
const unbundled = 'turmericctl.ts';

/** @returns the parts of the HTTP client library that the sources of the nodes use. */
function readHttpClientParts(): string[] {
	const files = ['src', 'platform'].flatMap((folder) =>
		readdirSync(folder, {recursive: true, encoding: 'utf8'}).map((file) => `${folder}/${file}`),
	);
	return files
		.filter((file) => file.endsWith('.ts') && !file.endsWith(unbundled))
		.flatMap((file) => {
			const imports = /^import \{(?<names>[^\}]*)\} from 'undici';$/mv.exec(
				readFileSync(file, 'utf8'),
			);
			return imports?.groups?.names?.split(',') ?? [];
		})
		.map((name) => name.trim())
		.filter((name) => name !== '' && !name.startsWith('type '));
}

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

describe('the bundled HTTP client', () => {
	// Guards against a call that fails only when deployed, as the bundle lacks a class that it constructs.
	it('contains each part of the HTTP client that a node uses', () => {
		const parts = createRequire(import.meta.url)('../deploy/bundle/http-client.cjs') as object;
		expect(readHttpClientParts().length).toBeGreaterThan(0);
		for (const name of readHttpClientParts()) {
			expect(parts).toHaveProperty(name);
		}
	});
});
