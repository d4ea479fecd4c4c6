/** `npm start`: a deployment of the brief in small, with load and failures, checked as it ends. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	checkInvariants,
	countOutcomes,
	FaultKind,
	goodput,
	percentilesOf,
	TraceEventKind,
	type FaultEvent,
	type TraceEvent,
} from '../src/replay/index.js';
import {Deployment, fetchText, ports} from './deployment/deployment.js';
import {kerakot, rannakivi} from './deployment/place.js';
import {drawTraffic, kerakotKinds, rannakiviKinds} from './replay/traffic.js';
import {TraceRunner, type RunResult} from './replay/trace-runner.js';

const {values} = parseArgs({
	options: {
		deployment: {type: 'string', default: 'rannakivi'},
		seconds: {type: 'string', default: '20'},
		seed: {type: 'string', default: '1'},
		json: {type: 'string'},
	},
});

const plans = {rannakivi, kerakot};

function planOf(name: string) {
	if (name !== 'rannakivi' && name !== 'kerakot') {
		process.stderr.write(`--deployment: "${name}" is neither rannakivi nor kerakot\n`);
		process.exit(2);
	}

	return plans[name];
}

const plan = planOf(values.deployment);
const length = Number(values.seconds) * 1000;
const seed = Number(values.seed);

function fault(share: number, kind: FaultKind, target: string): FaultEvent {
	return {kind: TraceEventKind.Fault, at: Math.round(length * share), fault: kind, target};
}

function createTrace(): TraceEvent[] {
	const kinds = plan === rannakivi ? rannakiviKinds(1) : kerakotKinds(1);
	const [lookup, booking, billing] = plan.services.map((service) => service.name);
	const faults = [
		fault(0.2, FaultKind.Kill, `backend-${lookup}-2`),
		fault(0.3, FaultKind.Apply, `${plan.files}-changed`),
		fault(0.4, FaultKind.Restart, `backend-${lookup}-2`),
		fault(0.5, FaultKind.Drain, `${booking}-3`),
		fault(0.65, FaultKind.Stop, `node-${billing}-1`),
	];
	const calls = drawTraffic({plan, kinds, start: 0, end: length, seed, prefix: 'demo'});
	return [...calls, ...faults].toSorted((a, b) => a.at - b.at);
}

async function sumMetric(deployment: Deployment, name: string, filter: string): Promise<number> {
	let sum = 0;
	for (const pair of deployment.pairs) {
		try {
			const text = await fetchText(`http://${pair.address}:${ports.operator}/metrics`);
			for (const line of text.split('\n')) {
				if (line.startsWith(name) && line.includes(filter)) {
					sum += Number(line.split(' ').at(-1));
				}
			}
		} catch {
			// A node that was stopped has no metrics to show.
		}
	}

	return sum;
}

function printOutcomes({books}: RunResult): void {
	console.log('\ncalls by outcome');
	for (const {service, outcome, reason, count} of countOutcomes(books.callers)) {
		console.log(`  ${service.padEnd(18)} ${outcome.padEnd(10)} ${reason.padEnd(22)} ${count}`);
	}

	console.log('\nlatency at the caller, ms');
	for (const {name} of plan.services) {
		const durations = books.callers
			.filter((entry) => entry.service === name && entry.outcome === 'answered')
			.map((entry) => entry.duration);
		const {count, p50, p99, p999} = percentilesOf(durations);
		console.log(
			`  ${name.padEnd(18)} n ${String(count).padStart(5)}  p50 ${p50.toFixed(1)}  p99 ${p99.toFixed(1)}  p99.9 ${p999.toFixed(1)}`,
		);
	}

	console.log(`  answered in time: ${(goodput(books.callers) * 100).toFixed(2)} %`);
}

async function printCosts(deployment: Deployment): Promise<void> {
	const bytes = await deployment.setNetworkFaults({});
	console.log('\ncost of measuring and control');
	for (const [link, count] of Object.entries(bytes)) {
		console.log(`  ${link.padEnd(22)} ${((count / length) * 1000).toFixed(0)} bytes/s`);
	}

	const probes = await sumMetric(deployment, 'turmeric_probe_milliseconds_total', '');
	const perBackend = probes / deployment.pairs.length / (length / 1000);
	console.log(`  probes               ${perBackend.toFixed(2)} ms/s at each backend server`);
	const store = await deployment.storeCounts();
	console.log(`  store                ${store.reads} reads, ${store.writes} writes`);
}

function printInvariants({books}: RunResult): boolean {
	console.log('\nwhat must always hold');
	let isHeld = true;
	for (const {invariant, checked, broken} of checkInvariants(books)) {
		isHeld &&= broken.length === 0;
		console.log(
			`  ${broken.length === 0 ? 'ok    ' : 'BROKEN'} ${invariant.padEnd(24)} ${checked} checked, ${broken.length} broken`,
		);
		for (const line of broken.slice(0, 5)) {
			console.log(`         ${line}`);
		}
	}

	return isHeld;
}

const deployment = new Deployment(plan, seed);
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.on(signal, () => {
		void deployment.stop().then(() => process.exit(130));
	});
}

try {
	console.log(`deployment ${plan.name}: ${plan.services.length} services, seed ${seed}`);
	await deployment.open();
	const trace = createTrace();
	console.log(`replaying ${trace.length} events over ${length / 1000} s`);
	const result = await new TraceRunner(deployment).run(trace);
	printOutcomes(result);
	await printCosts(deployment);
	for (const step of result.steps) {
		console.log(`\noperator at ${(step.at / 1000).toFixed(1)} s: ${step.text}`);
	}

	const isHeld = printInvariants(result);
	if (values.json !== undefined) {
		const report = {plan: plan.name, seed, ...result, invariants: checkInvariants(result.books)};
		writeFileSync(values.json, JSON.stringify(report));
	}

	process.exitCode = isHeld ? 0 : 1;
} catch (err) {
	console.error(err);
	process.exitCode = 1;
} finally {
	await deployment.stop();
}
