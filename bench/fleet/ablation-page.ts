import type {Trial, TrialOutcome} from './trial.js';

type Row = {
	readonly scenario: string;
	readonly disabled: string;
	readonly mean: TrialOutcome;
	/** Difference of the worth to the full set of mechanisms, on the same seeds: mean and extremes. */
	readonly gain: number;
	readonly minGain: number;
	readonly maxGain: number;
};

const barUnit = 1200;
const zeroX = 420;
const rowHeight = 16;
const plotWidth = 900;

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function meanOutcome(outcomes: readonly TrialOutcome[]): TrialOutcome {
	const meanOf = (pick: (outcome: TrialOutcome) => number) =>
		mean(outcomes.map((item) => pick(item)));
	return {
		worth: meanOf(({worth}) => worth),
		worstWorth: meanOf(({worstWorth}) => worstWorth),
		inTime: meanOf(({inTime}) => inTime),
		attemptsPerCall: meanOf(({attemptsPerCall}) => attemptsPerCall),
	};
}

function createRows(trials: readonly Trial[], outcomes: readonly TrialOutcome[]): Row[] {
	const groups = new Map<string, Map<string, TrialOutcome[]>>();
	for (const [index, {deployment, episode, disabled}] of trials.entries()) {
		const scenario = `${deployment}, ${episode}`;
		const variants = groups.get(scenario) ?? new Map<string, TrialOutcome[]>();
		groups.set(scenario, variants);
		const variant = disabled ?? 'none';
		variants.set(variant, [...(variants.get(variant) ?? []), outcomes[index]!]);
	}

	const rows: Row[] = [];
	for (const [scenario, variants] of groups) {
		const full = variants.get('none') ?? [];
		for (const [disabled, variant] of variants) {
			const gains = variant.map(({worth}, seed) => (full[seed]?.worth ?? worth) - worth);
			rows.push({
				scenario,
				disabled,
				mean: meanOutcome(variant),
				gain: mean(gains),
				minGain: Math.min(...gains),
				maxGain: Math.max(...gains),
			});
		}
	}

	return rows;
}

function formatRow({scenario, disabled, mean: outcome, gain, minGain, maxGain}: Row): string {
	const range = `${minGain.toFixed(3)} to ${maxGain.toFixed(3)}`;
	return [
		scenario.padEnd(30),
		disabled.padEnd(17),
		outcome.worth.toFixed(3),
		outcome.worstWorth.toFixed(3),
		outcome.inTime.toFixed(3),
		outcome.attemptsPerCall.toFixed(2),
		gain.toFixed(3).padStart(7),
		range,
	].join('  ');
}

function plot(scenario: string, rows: readonly Row[]): string {
	const bars = rows.map(({disabled, gain, minGain, maxGain}, index) => {
		const y = index * rowHeight;
		const x = zeroX + Math.min(0, gain) * barUnit;
		const color = gain >= 0 ? '#2a7f3f' : '#b3261e';
		const middle = y + rowHeight / 2;
		const [from, to] = [zeroX + minGain * barUnit, zeroX + maxGain * barUnit];
		return [
			`<text x="4" y="${y + 12}" font-size="11">${disabled}</text>`,
			`<rect x="${x}" y="${y + 3}" width="${Math.abs(gain) * barUnit}" height="${rowHeight - 6}" fill="${color}"/>`,
			`<line x1="${from}" x2="${to}" y1="${middle}" y2="${middle}" stroke="#444"/>`,
			`<text x="${plotWidth - 60}" y="${y + 12}" font-size="11">${gain.toFixed(3)}</text>`,
		].join('');
	});
	const height = rows.length * rowHeight;
	const axis = `<line x1="${zeroX}" x2="${zeroX}" y1="0" y2="${height}" stroke="#888"/>`;
	return `<h2>${scenario}</h2><svg width="${plotWidth}" height="${height}">${axis}${bars.join('')}</svg>`;
}

/**
 * @param trials - the simulations.
 * @param outcomes - their outcomes, in the same order.
 * @returns a table as text, and a page with one plot for each scenario: what each mechanism adds to the
 * worth, with its range over the seeds.
 */
export function renderAblation(
	trials: readonly Trial[],
	outcomes: readonly TrialOutcome[],
): {text: string; html: string} {
	const rows = createRows(trials, outcomes);
	const head =
		'scenario, switched off, worth, worst window, in time, attempts/call, gain of the mechanism, range';
	const text = [head, ...rows.map((row) => formatRow(row))].join('\n');
	const scenarios = [...new Set(rows.map(({scenario}) => scenario))];
	const plots = scenarios.map((scenario) =>
		plot(
			scenario,
			rows.filter((row) => row.scenario === scenario && row.disabled !== 'none'),
		),
	);
	const title = 'What each mechanism adds to the worth of the answers';
	const html = `<!doctype html><meta charset="utf-8"><title>${title}</title><body style="font-family:sans-serif"><h1>${title}</h1>${plots.join('')}</body>\n`;
	return {text, html};
}
