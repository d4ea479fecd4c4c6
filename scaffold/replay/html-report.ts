import {
	checkInvariants,
	countOutcomes,
	goodput,
	percentilesOf,
	type CallerEntry,
} from '../../src/replay/index.js';
import {escapeHtml} from '../escape-html.js';
import type {RunResult} from './trace-runner.js';

const width = 900;
const height = 220;
const margin = 40;
const colors: Readonly<Record<string, string>> = {
	answered: '#2a7f3f',
	'not-run': '#c77f00',
	unknown: '#b3261e',
	broken: '#444',
};

function scaleX(at: number, end: number): number {
	return margin + (at / end) * (width - 2 * margin);
}

/** Latency of each call over time, on a logarithmic scale, with the faults marked. */
function latencyPlot({books, faults}: RunResult, end: number): string {
	const highest = 10_000;
	const y = (duration: number) =>
		height -
		margin -
		(Math.log10(Math.max(1, duration)) / Math.log10(highest)) * (height - 2 * margin);
	const dots = books.callers.map((entry) => {
		const color = colors[entry.outcome] ?? '#444';
		const x = scaleX(entry.sentAt, end).toFixed(1);
		return `<circle cx="${x}" cy="${y(entry.duration).toFixed(1)}" r="1.6" fill="${color}"/>`;
	});
	const lines = [1, 10, 100, 1000].map(
		(ms) =>
			`<line x1="${margin}" x2="${width - margin}" y1="${y(ms)}" y2="${y(ms)}" stroke="#ddd"/><text x="2" y="${y(ms) + 4}" font-size="10">${ms} ms</text>`,
	);
	const marks = faults.map((fault) => {
		const x = scaleX(fault.at, end);
		return `<line x1="${x}" x2="${x}" y1="10" y2="${height - margin}" stroke="#b3261e" stroke-dasharray="3"/><text x="${x + 2}" y="18" font-size="9">${escapeHtml(`${fault.fault} ${fault.target}`)}</text>`;
	});
	return `<svg width="${width}" height="${height}">${[...lines, ...dots, ...marks].join('')}</svg>`;
}

/** Runs of each backend server in each half second. */
function loadPlot({books}: RunResult, end: number): string {
	const slice = 500;
	const names = [...new Set(books.backends.map((entry) => entry.backend))].toSorted();
	const rows = names.map((name, row) => {
		const counts = Array.from({length: Math.ceil(end / slice) + 1}, () => 0);
		for (const entry of books.backends) {
			const index = Math.floor(entry.startedAt / slice);
			if (entry.backend === name && index >= 0 && index < counts.length) {
				counts[index]! += 1;
			}
		}

		const most = Math.max(1, ...counts);
		const cells = counts.map((count, i) => {
			const shade = (count / most).toFixed(2);
			return `<rect x="${160 + i * 12}" y="${row * 16}" width="11" height="14" fill="rgba(42,127,63,${shade})"><title>${count}</title></rect>`;
		});
		return `<text x="0" y="${row * 16 + 11}" font-size="10">${escapeHtml(name)}</text>${cells.join('')}`;
	});
	return `<svg width="${width}" height="${names.length * 16 + 4}">${rows.join('')}</svg>`;
}

function table(
	head: readonly string[],
	rows: ReadonlyArray<ReadonlyArray<number | string>>,
): string {
	const cells = (row: ReadonlyArray<number | string>, tag: string) =>
		row.map((cell) => `<${tag}>${escapeHtml(String(cell))}</${tag}>`).join('');
	const body = rows.map((row) => `<tr>${cells(row, 'td')}</tr>`).join('');
	return `<table><tr>${cells(head, 'th')}</tr>${body}</table>`;
}

function latencyRows(entries: readonly CallerEntry[]): string[][] {
	const services = [...new Set(entries.map((entry) => entry.service))].toSorted();
	return services.map((service) => {
		const own = entries.filter((entry) => entry.service === service);
		const {count, p50, p99, p999} = percentilesOf(own.map((entry) => entry.duration));
		return [service, String(count), p50.toFixed(1), p99.toFixed(1), p999.toFixed(1)];
	});
}

/**
 * @param title - name of the trace.
 * @param result - books of the replay.
 * @param bytes - bytes that crossed between regions.
 * @returns one page that needs nothing else.
 */
export function createHtmlReport(
	title: string,
	result: RunResult,
	bytes: Readonly<Record<string, number>>,
): string {
	const {books, steps} = result;
	const end = Math.max(1, ...books.callers.map((entry) => entry.sentAt));
	const attempts = books.callers.reduce((sum, entry) => sum + entry.attempts, 0);
	const invariants = checkInvariants(books).map(({invariant, checked, broken}) => [
		broken.length === 0 ? 'ok' : 'BROKEN',
		invariant,
		checked,
		broken.slice(0, 3).join('; '),
	]);
	const outcomes = countOutcomes(books.callers).map((item) => [
		item.service,
		item.outcome,
		item.reason,
		item.count,
	]);
	const perSecond = Object.entries(bytes).map(([link, count]) => [
		link,
		((count / end) * 1000).toFixed(0),
	]);
	return [
		`<!doctype html><html lang="en"><meta charset="utf-8"><title>${escapeHtml(title)}</title>`,
		'<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;text-align:left}</style>',
		`<h1>${escapeHtml(title)}</h1>`,
		`<p>answered in time: ${(goodput(books.callers) * 100).toFixed(2)} %; attempts a call: ${(attempts / Math.max(1, books.callers.length)).toFixed(2)}</p>`,
		`<h2>What must always hold</h2>${table(['', 'invariant', 'checked', 'broken'], invariants)}`,
		`<h2>Latency over time</h2>${latencyPlot(result, end)}`,
		table(['service', 'calls', 'p50 ms', 'p99 ms', 'p99.9 ms'], latencyRows(books.callers)),
		`<h2>Calls by outcome</h2>${table(['service', 'outcome', 'reason', 'calls'], outcomes)}`,
		`<h2>Load of the backend servers</h2>${loadPlot(result, end)}`,
		`<h2>Links between regions</h2>${table(['link', 'bytes/s'], perSecond)}`,
		`<h2>Operators</h2>${table(
			['at ms', 'told'],
			steps.map((step) => [step.at.toFixed(0), step.text]),
		)}`,
		'</html>',
	].join('\n');
}
