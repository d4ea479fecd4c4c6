import type {FlowOutcome} from './flow-recorder.js';
import {ZonePolicy} from './zone-placements.js';

/** One simulation of the comparison of zone policies. */
export interface ZoneTrial {
	readonly scenario: string;
	readonly policy: ZonePolicy;
	readonly seed: number;
}

/** Outcome of a {@link ZoneTrial}. */
export interface ZoneOutcome extends FlowOutcome {
	/** Share of the worth of all calls that was earned, less the price of the bytes. */
	readonly net: number;
	/** Earned share of the worth in the worst 2 s. */
	readonly worstWorth: number;
	readonly inTime: number;
}

type Figure = 'net' | 'worstWorth' | 'inTime' | 'cost' | 'leavingShare' | 'mutualShare' | 'change';
type Row = {
	readonly scenario: string;
	readonly policy: ZonePolicy;
	readonly mean: Readonly<Record<Figure, number>>;
	/** Difference of the net worth to the oracle. */
	readonly distance: number;
	readonly leaving: ReadonlyArray<readonly number[]>;
};

const figures: readonly Figure[] = [
	'net',
	'worstWorth',
	'inTime',
	'cost',
	'leavingShare',
	'mutualShare',
	'change',
];
const plotWidth = 300;
const plotHeight = 60;
const barWidth = 500;

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function createRows(trials: readonly ZoneTrial[], outcomes: readonly ZoneOutcome[]): Row[] {
	const rows: Row[] = [];
	for (const scenario of new Set(trials.map((trial) => trial.scenario))) {
		const of = (policy: ZonePolicy) =>
			outcomes.filter((_outcome, index) => {
				const trial = trials[index]!;
				return trial.scenario === scenario && trial.policy === policy;
			});
		const best = mean(of(ZonePolicy.Oracle).map(({net}) => net));
		for (const policy of Object.values(ZonePolicy)) {
			const played = of(policy);
			const means = Object.fromEntries(
				figures.map((figure) => [figure, mean(played.map((outcome) => outcome[figure]))]),
			) as Record<Figure, number>;
			const {leaving} = played[0]!;
			rows.push({scenario, policy, mean: means, distance: best - means.net, leaving});
		}
	}

	return rows;
}

function formatRow({scenario, policy, mean: means, distance}: Row): string {
	const cells = figures.map((figure) => means[figure].toFixed(3).padStart(6));
	return [scenario.padEnd(32), policy.padEnd(20), ...cells, distance.toFixed(3).padStart(7)].join(
		'  ',
	);
}

// Leaving share of each zone by second.
function plot({policy, mean: {net}, leaving}: Row): string {
	const zones = leaving[0]?.length ?? 0;
	const lines = Array.from({length: zones}, (_item, zone) => {
		const points = leaving.map((shares, second) => {
			const x = (second / Math.max(1, leaving.length - 1)) * plotWidth;
			return `${x.toFixed(1)},${((1 - shares[zone]!) * plotHeight).toFixed(1)}`;
		});
		const hue = Math.round((360 * zone) / zones);
		return `<polyline fill="none" stroke="hsl(${hue} 70% 40%)" points="${points.join(' ')}"/>`;
	});
	const bar = `<svg width="${barWidth}" height="14"><rect width="${Math.max(0, net) * barWidth}" height="12" fill="#357"/></svg>`;
	const box = `<rect width="${plotWidth}" height="${plotHeight}" fill="none" stroke="#bbb"/>`;
	const shares = `<svg width="${plotWidth}" height="${plotHeight}">${box}${lines.join('')}</svg>`;
	return `<tr><td>${policy}</td><td>${net.toFixed(3)}</td><td>${bar}</td><td>${shares}</td></tr>`;
}

/**
 * @param trials - the simulations.
 * @param outcomes - their outcomes, in the same order.
 * @returns a table as text, and a self-contained page that shows the net worth of each policy and the shares that left
 * each zone.
 */
export function renderZones(
	trials: readonly ZoneTrial[],
	outcomes: readonly ZoneOutcome[],
): {text: string; html: string} {
	const rows = createRows(trials, outcomes);
	const head =
		'scenario, policy, net worth, worst 2 s, in time, price of bytes, leaving, mutual, change by second, distance to the oracle';
	const text = [head, ...rows.map((row) => formatRow(row))].join('\n');
	const title = 'When calls leave their availability zone';
	const columns =
		'<tr><th>policy</th><th>net worth</th><th></th><th>share that leaves each zone, by time</th></tr>';
	const tables = [...new Set(rows.map(({scenario}) => scenario))].map((scenario) => {
		const plots = rows.filter((row) => row.scenario === scenario).map((row) => plot(row));
		return `<h2>${scenario}</h2><table>${columns}${plots.join('')}</table>`;
	});
	const html = `<!doctype html><meta charset="utf-8"><title>${title}</title><body style="font-family:sans-serif"><h1>${title}</h1>${tables.join('')}</body>\n`;
	return {text, html};
}
