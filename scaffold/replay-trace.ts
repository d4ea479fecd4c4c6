/** `npm run replay -- NAME...`: replays traces of the repository and checks their outcomes. */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {FindingsError, type Finding} from '../src/ini/index.js';
import {checkInvariants, goodput, parseTrace} from '../src/replay/index.js';
import {Deployment} from './deployment/deployment.js';
import {createHtmlReport} from './replay/html-report.js';
import {namedTraces, type NamedTrace} from './replay/named-traces.js';
import {TraceRunner} from './replay/trace-runner.js';

const percent = 100;

async function replay(trace: NamedTrace): Promise<boolean> {
	const file = `traces/${trace.name}.jsonl`;
	const findings: Finding[] = [];
	const events = parseTrace(file, readFileSync(file, 'utf8'), findings);
	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	const deployment = new Deployment(trace.plan, 1);
	try {
		await deployment.open();
		const result = await new TraceRunner(deployment).run(events);
		const bytes = await deployment.setNetworkFaults({});
		const broken = checkInvariants(result.books).flatMap((item) => item.broken);
		const share = goodput(result.books.callers);
		const isGood = broken.length === 0 && share >= trace.goodput;
		mkdirSync('reports', {recursive: true});
		writeFileSync(`reports/${trace.name}.html`, createHtmlReport(trace.name, result, bytes));
		writeFileSync(`reports/${trace.name}.json`, JSON.stringify(result));
		console.log(
			`${isGood ? 'ok    ' : 'MISSED'} ${trace.name}: ${broken.length} broken, answered in time ${(share * percent).toFixed(2)} % (stated ${trace.goodput * percent} %)`,
		);
		for (const line of broken.slice(0, 5)) {
			console.log(`         ${line}`);
		}

		return isGood;
	} finally {
		await deployment.stop();
	}
}

const names = process.argv.slice(2);
const chosen = namedTraces.filter((trace) => names.length === 0 || names.includes(trace.name));
if (chosen.length < Math.max(1, names.length)) {
	console.error(`known traces: ${namedTraces.map((trace) => trace.name).join(', ')}`);
	process.exit(2);
}

let isGood = true;
for (const trace of chosen) {
	isGood = (await replay(trace)) && isGood;
}

process.exitCode = isGood ? 0 : 1;
