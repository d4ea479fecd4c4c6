/**
 * Plays the table of what a backend server may answer: `node dist/scaffold/conformance/conformance.js [COUNT] [SEED]`.
 * Writes `reports/conformance.html` and exits with 1 if a row is not as wanted.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {escapeHtml} from '../escape-html.js';
import {Mesh} from '../mesh/mesh.js';
import {ConformanceRun, type Exchange} from './conformance-run.js';

const [count = '10000', seed = '20261207'] = process.argv.slice(2);
const reportFile = 'reports/conformance.html';

/** A page with one line for each row: what is wanted, what was seen, how often. */
function createReport(exchanges: readonly Exchange[]): string {
	const lines = new Map<string, {times: number; isBroken: boolean}>();
	for (const {row, kind, seen, violation} of exchanges) {
		const result = violation === undefined ? seen : `${seen}: ${violation}`;
		const cells = [row.name, kind, row.wanted, result].map(
			(cell) => `<td>${escapeHtml(cell)}</td>`,
		);
		const line = cells.join('');
		const {times = 0} = lines.get(line) ?? {};
		lines.set(line, {times: times + 1, isBroken: violation !== undefined});
	}

	const rows = [...lines]
		.toSorted(([, a], [, b]) => Number(b.isBroken) - Number(a.isBroken))
		.map(([line, {times, isBroken}]) => {
			const mark = isBroken ? ' style="background:#f6d5d2"' : '';
			return `<tr${mark}>${line}<td>${times}</td></tr>`;
		});
	const titles = ['row', 'request', 'wanted', 'seen: status, bytes', 'times'];
	const head = titles.map((title) => `<th>${title}</th>`).join('');
	return `<!doctype html><meta charset="utf-8"><title>Conformance</title><table>${head}${rows.join('\n')}</table>\n`;
}

const mesh = new Mesh(73);
const run = new ConformanceRun(mesh, Number(seed));
try {
	await run.open();
	await run.play(Number(count));
} finally {
	await mesh.stop();
}

mkdirSync('reports', {recursive: true});
writeFileSync(reportFile, createReport(run.exchanges));
const {violations} = run;
const counts = new Map<string, number>();
for (const {row, kind, seen, violation} of violations) {
	const text = `${row.name}, ${kind}: ${violation} (${seen})`;
	counts.set(text, (counts.get(text) ?? 0) + 1);
}

for (const [text, times] of counts) {
	console.log(`${times} times ${text}`);
}

console.log(`${run.exchanges.length} exchanges, ${violations.length} not as wanted; ${reportFile}`);
process.exitCode = violations.length > 0 ? 1 : 0;
