import {afterAll, expect, it} from 'vitest';
import {ConfigurationSoak} from '../scaffold/mesh/configuration-soak.js';
import {Mesh} from '../scaffold/mesh/mesh.js';

const mesh = new Mesh(63);
/** Answers that a run judges at least, so that it does not pass for want of nodes in touch. */
const minJudged = 1000;

afterAll(async () => {
	await mesh.stop();
});

// Guards against nodes that stay behind a change after overlapping disruptions; more seeds: scaffold/soak.ts.
it('nodes in touch follow every change, deny no proper request and run none twice', async () => {
	const soak = new ConfigurationSoak(mesh, 20_261_205);
	await soak.open();
	await soak.run(4);
	expect(soak.violations).toEqual([]);
	expect(soak.judged).toBeGreaterThan(minJudged);
}, 240_000);
