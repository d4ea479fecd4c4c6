import {existsSync, readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {Outcome, refusals, RefusalReason} from '../src/call/index.js';
import {logEvents, Metrics, RetryReason} from '../src/telemetry/index.js';

function read(file: string): string {
	return readFileSync(file, 'utf8');
}

/** @returns the test file and the test name of each row in docs/PROOFS.md. */
function proofRows(): Array<{file: string; name: string}> {
	const rows = read('docs/PROOFS.md').matchAll(
		/`((?:tests|src|platform|bench)\/[^`]+\.test\.ts)`: "([^"]+)"/gv,
	);
	return [...rows].map((row) => ({file: row[1]!, name: row[2]!}));
}

describe('the docs', () => {
	it('list every refusal reason with its status and outcome', () => {
		const page = read('docs/CALLERS.md');
		for (const reason of Object.values(RefusalReason)) {
			const {outcome, status} = refusals[reason];
			expect(page).toContain(`| \`${reason}\` | ${status} | ${outcome} |`);
		}
	});

	it('list every log event with its number and level', () => {
		const page = read('docs/LOGS.md');
		const numbers = new Set<number>();
		for (const {number, name, level, text} of Object.values(logEvents)) {
			expect(page).toContain(`| ${number} | ${name} | ${level} | ${text} |`);
			expect(numbers.has(number)).toBe(false);
			numbers.add(number);
		}

		expect(page.match(/^\| \d+ \|/gmv)).toHaveLength(numbers.size);
	});

	it('list every metric', async () => {
		const page = read('docs/METRICS.md');
		for (const {name} of await new Metrics().registry.getMetricsAsJSON()) {
			expect(page).toContain(`| \`${name}\` |`);
		}
	});

	it('name only test files and test titles that exist', () => {
		expect(proofRows().length).toBeGreaterThan(20);
		for (const {file, name} of proofRows()) {
			expect(existsSync(file), file).toBe(true);
			expect(read(file), `${file}: ${name}`).toContain(name);
		}
	});
});

describe('the metrics', () => {
	it('have a counter for each refusal and retry reason and each outcome', async () => {
		const text = await new Metrics().registry.metrics();
		for (const reason of Object.values(RefusalReason)) {
			expect(text).toContain(`turmeric_refusals_total{reason="${reason}"} 0`);
			expect(text).toContain(`turmeric_attempt_refusals_total{reason="${reason}"} 0`);
		}

		for (const reason of Object.values(RetryReason)) {
			expect(text).toContain(`turmeric_retries_total{reason="${reason}"} 0`);
		}

		for (const outcome of Object.values(Outcome)) {
			expect(text).toContain(`turmeric_calls_total{outcome="${outcome}"} 0`);
		}
	});
});
