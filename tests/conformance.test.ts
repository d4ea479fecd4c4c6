import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import {answerRows, Wanted} from '../scaffold/conformance/answer-row.js';
import {ConformanceRun} from '../scaffold/conformance/conformance-run.js';
import {Mesh} from '../scaffold/mesh/mesh.js';

const seed = 20_261_207;
const exchanges = 600;

const noContent = new Set(['204', '304']);
const sound = answerRows.filter(({wanted}) => wanted === Wanted.Answer);
const withContent = sound.filter(({status}) => !noContent.has(status));

/** Each group guards against the failure that its name denies. */
const groups = [
	{
		name: 'announced trailers close no connection of a caller',
		rows: withContent.filter(({name}) => name.includes('announced trailers')),
	},
	{
		name: 'answers without content reach the caller whatever length their head names',
		rows: sound.filter(({status}) => noContent.has(status)),
	},
	{
		name: 'heads that no answer has reach no caller, and end the attempt at once',
		rows: answerRows.filter(({wanted}) => wanted === Wanted.Fault),
	},
	{
		name: 'sound answers reach the caller beside faulty ones, and none counts as a crash',
		rows: answerRows,
	},
	{
		name: 'sound answers reach the caller in each framing',
		rows: withContent,
	},
];

describe(`what a backend server may answer (seed ${seed})`, () => {
	const mesh = new Mesh(72);
	const run = new ConformanceRun(mesh, seed);

	beforeAll(async () => {
		await run.open();
	});

	beforeEach(() => {
		run.exchanges.length = 0;
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it.each(groups)('$name', async ({rows}) => {
		await run.play(exchanges, rows);
		const violations = run.violations.map(({row, violation}) => `${row.name}: ${violation}`);
		expect(violations).toEqual([]);
	});
});
