/** Runs the tests and compares the failures with KNOWN-RED.txt; see docs/DEVELOPERS.md. */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync} from 'node:fs';
import process from 'node:process';

interface TestReport {
	readonly testResults: ReadonlyArray<{
		readonly name: string;
		readonly status: string;
		readonly message: string;
		readonly assertionResults: ReadonlyArray<{readonly fullName: string; readonly status: string}>;
	}>;
}

const reportFile = 'reports/tests.json';
const knownRedFile = 'KNOWN-RED.txt';

/** Each entry of the list starts with a line `test: <full name>`. */
function readKnownRed(): ReadonlySet<string> {
	if (!existsSync(knownRedFile)) {
		return new Set();
	}

	const lines = readFileSync(knownRedFile, 'utf8').split('\n');
	const entries = lines.filter((line) => line.startsWith('test: '));
	return new Set(entries.map((line) => line.slice('test: '.length).trim()));
}

function runTests(): TestReport {
	mkdirSync('reports', {recursive: true});
	const reporters = ['--reporter=default', '--reporter=json', `--outputFile=${reportFile}`];
	const files = process.argv.slice(2);
	const bin = 'node_modules/vitest/vitest.mjs';
	spawnSync(process.execPath, [bin, 'run', ...reporters, ...files], {stdio: 'inherit'});
	return JSON.parse(readFileSync(reportFile, 'utf8')) as TestReport;
}

const knownRed = readKnownRed();
const report = runTests();
let passed = 0;
let failed = 0;
const failures: string[] = [];
for (const file of report.testResults) {
	if (file.assertionResults.length === 0) {
		failed += 1;
		failures.push(`${file.name}: ${file.message}`);
	}

	for (const test of file.assertionResults) {
		if (test.status === 'passed') {
			passed += 1;
		} else if (knownRed.has(test.fullName)) {
			console.log(`known red: ${test.fullName} (${test.status})`);
		} else {
			failed += 1;
			failures.push(`${test.fullName} (${test.status})`);
		}
	}
}

for (const failure of failures) {
	console.log(`FAILED: ${failure}`);
}

console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
