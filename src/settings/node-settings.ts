import {isIP} from 'node:net';
import {second, type Millis} from '../clock/index.js';
import {
	FindingsError,
	parseIni,
	reportUnknownSections,
	SectionReader,
	type Finding,
} from '../ini/index.js';
import {Mechanism, type DisabledMechanisms} from '../experiment/index.js';
import {defaultQuotaSettings, type QuotaSettings} from '../quota/index.js';
import {LogFormat, LogLevel} from '../telemetry/index.js';
import {parseEndpoint, type Endpoint} from './endpoint.js';

/** What is known about the backend server of the VM before its first announcement. */
export interface BackendSettings {
	/** Service of the backend server, on behalf of which its own calls are made; empty if unknown. */
	readonly service: string;
	/** Address and port of the backend server; undefined if unknown. */
	readonly endpoint: Endpoint | undefined;
	/** Time between two announcements, in ms. */
	readonly announcePeriod: Millis;
}

/** Cost of transferring a kilobyte, in units of one answered call of the lowest priority. */
export interface TransferCostSettings {
	readonly otherZoneCost: number;
	readonly otherRegionCost: number;
	/** Whether the share of calls that leaves an availability zone is decided for the zone as a whole. */
	readonly isSpilloverEnabled: boolean;
}

/** Budget of further attempts that all nodes in common may send to a service. */
export interface BudgetSettings {
	/** Further attempts as a share of the requests for the service. */
	readonly ratio: number;
	/** Further attempts allowed in addition to the share, per window of the operators' count. */
	readonly slack: number;
}

/** Requests that a cold backend server may get beyond the rate that the declaration says it tolerates. */
export interface ColdSettings {
	/** Factor of the rate. */
	readonly overage: number;
	/** Requests per second in addition. */
	readonly slack: number;
}

/** Settings of a node, read from its settings file. */
export interface NodeSettings {
	/** IP address on which the node listens. */
	readonly address: string;
	/** IP address at which peers reach the node. */
	readonly advertise: string;
	readonly callerPort: number;
	/** TCP port of links and UDP port of gossip. */
	readonly linkPort: number;
	readonly operatorPort: number;
	/** Port of the readiness check besides the operators' port; undefined for none. */
	readonly readinessPort: number | undefined;
	/** Port for announcements of the backend server besides the operators' port; undefined for none. */
	readonly announcementPort: number | undefined;
	readonly backend: BackendSettings;
	readonly ways: TransferCostSettings;
	readonly budgets: BudgetSettings;
	/** Undefined if cold backend servers are not bounded. */
	readonly cold: ColdSettings | undefined;
	/** Bandwidth of the link of the VM, in Mbit/s; undefined if unknown. */
	readonly linkRate: number | undefined;
	/** Tolerance of the operators' count of a customer's requests over all nodes. */
	readonly quota: QuotaSettings;
	readonly region: string;
	readonly zone: string;
	readonly seeds: readonly Endpoint[];
	readonly secret: string;
	readonly store: Endpoint | undefined;
	/** Time within which a configuration that the store has acknowledged must be in force at all nodes, in ms. */
	readonly applyBound: Millis;
	readonly stopTimeout: Millis;
	readonly logForm: LogFormat;
	readonly logLevel: LogLevel;
	/** Seed of the random numbers; undefined for a random seed. */
	readonly randomSeed: number | undefined;
	/** Whether the whole deployment starts for the first time, so that the store has no roster yet. */
	readonly isFirstStart: boolean;
	/** Mechanisms that an experiment switches off; empty in operation. */
	readonly disabled: DisabledMechanisms;
}

const knownSections = new Set([
	'node',
	'peers',
	'store',
	'log',
	'backend',
	'ways',
	'budgets',
	'cold',
	'quota',
	'experiment',
]);
const maxPort = 65_535;
const minSecretLength = 8;
const maxSeed = 2 ** 31;

function readIp(reader: SectionReader, key: string, fallback?: string): string {
	const value = reader.text(key, fallback);
	if (value !== '' && isIP(value) === 0) {
		reader.report(key, `"${value}" is not an IP address`, 'host names are not resolved');
	}

	return value;
}

function readEndpoints(reader: SectionReader, key: string): Endpoint[] {
	const endpoints: Endpoint[] = [];
	for (const item of reader.list(key)) {
		const endpoint = parseEndpoint(item);
		if (endpoint) {
			endpoints.push(endpoint);
		} else {
			reader.report(key, `"${item}" is not IP:port`, 'as in 10.0.0.1:7001');
		}
	}

	return endpoints;
}

// Reads the port of an `IP:port` value, for environments that assign a whole address to each port.
function readPort(reader: SectionReader, key: string): number | undefined {
	return readEndpoints(reader, key)[0]?.port;
}

function readBackend(reader: SectionReader): BackendSettings {
	const announcePeriod = {min: 100, max: 60 * second, fallback: second};
	return {
		service: reader.text('service', ''),
		endpoint: readEndpoints(reader, 'address')[0],
		announcePeriod: reader.duration('announce-period', announcePeriod),
	};
}

function readTransferCosts(reader: SectionReader): TransferCostSettings {
	const cost = {min: 0, max: 1, fallback: 0};
	return {
		otherZoneCost: reader.number('other-zone-cost', cost),
		otherRegionCost: reader.number('other-region-cost', cost),
		isSpilloverEnabled: reader.flag('spillover', false),
	};
}

function readBudgets(reader: SectionReader): BudgetSettings {
	return {
		ratio: reader.number('ratio', {min: 0, max: 1, fallback: 0.2}),
		slack: reader.number('slack', {min: 0, max: 1_000_000, fallback: 10}),
	};
}

// A deployment without the bound renders its keys without values.
function readCold(reader: SectionReader): ColdSettings | undefined {
	const overage = reader.optionalNumber('overage', {min: 0, max: 1000});
	const slack = reader.optionalNumber('slack', {min: 0, max: 1_000_000});
	return overage === undefined || slack === undefined ? undefined : {overage, slack};
}

function readQuota(reader: SectionReader): QuotaSettings {
	const {window, overage, slack} = defaultQuotaSettings;
	return {
		window: reader.duration('window', {min: second, max: 60 * second, fallback: window}),
		overage: reader.number('overage', {min: 0, max: 1, fallback: overage}),
		slack: reader.number('slack', {min: 0, max: 1_000_000, fallback: slack}),
	};
}

function readDisabled(reader: SectionReader): DisabledMechanisms {
	const mechanisms = new Map<string, Mechanism>(
		Object.values(Mechanism).map((value) => [value, value]),
	);
	const disabled = new Set<Mechanism>();
	for (const name of reader.list('disable')) {
		const mechanism = mechanisms.get(name);
		if (mechanism === undefined) {
			const known = [...mechanisms.keys()].join(', ');
			reader.report('disable', `"${name}" is not known`, `give any of ${known}`);
		} else {
			disabled.add(mechanism);
		}
	}

	return disabled;
}

function readSeed(reader: SectionReader): number | undefined {
	const seed = reader.integer('random-seed', {min: 0, max: maxSeed, fallback: 0});
	return seed === 0 ? undefined : seed;
}

/**
 * Parses and validates the settings of a node.
 * @param file - name of the file, for messages.
 * @param text - content of the INI file.
 * @returns the settings.
 * @throws {@link FindingsError} with every finding.
 */
export function parseNodeSettings(file: string, text: string): NodeSettings {
	const findings: Finding[] = [];
	const document = parseIni(file, text, findings);
	reportUnknownSections(document, (name) => knownSections.has(name), findings);
	const node = new SectionReader(document, 'node', findings);
	const peers = new SectionReader(document, 'peers', findings);
	const store = new SectionReader(document, 'store', findings);
	const log = new SectionReader(document, 'log', findings);
	const backend = new SectionReader(document, 'backend', findings);
	const ways = new SectionReader(document, 'ways', findings);
	const budgets = new SectionReader(document, 'budgets', findings);
	const cold = new SectionReader(document, 'cold', findings);
	const quota = new SectionReader(document, 'quota', findings);
	const experiment = new SectionReader(document, 'experiment', findings);
	const port = (key: string, fallback: number) =>
		node.integer(key, {min: 1, max: maxPort, fallback});
	const address = readIp(node, 'address');
	const secret = peers.text('secret');
	if (secret !== '' && secret.length < minSecretLength) {
		peers.report('secret', 'is too short', `give ${minSecretLength} characters or more`);
	}

	const settings: NodeSettings = {
		address,
		advertise: readIp(node, 'advertise', address),
		callerPort: readPort(node, 'callers') ?? port('caller-port', 7000),
		linkPort: port('link-port', 7001),
		operatorPort: port('operator-port', 7002),
		readinessPort: readPort(node, 'readiness'),
		announcementPort: readPort(node, 'announcements'),
		backend: readBackend(backend),
		ways: readTransferCosts(ways),
		budgets: readBudgets(budgets),
		cold: readCold(cold),
		linkRate: node.optionalNumber('link-mbps', {min: 0.1, max: 1_000_000}),
		quota: readQuota(quota),
		region: node.text('region'),
		zone: node.text('zone'),
		stopTimeout: node.duration('stop-timeout', {
			min: second,
			max: 600 * second,
			fallback: 60 * second,
		}),
		randomSeed: readSeed(node),
		isFirstStart: node.flag('first-start', false),
		disabled: readDisabled(experiment),
		seeds: readEndpoints(peers, 'seeds'),
		secret,
		store: readEndpoints(store, 'address')[0],
		applyBound: store.duration('apply-bound', {min: 500, max: 60 * second, fallback: 2 * second}),
		logForm: log.choice('form', Object.values(LogFormat), LogFormat.Json),
		logLevel: log.choice('level', Object.values(LogLevel), LogLevel.Info),
	};
	for (const reader of [node, peers, store, log, backend, ways, budgets, cold, quota, experiment]) {
		reader.reportUnknownKeys();
	}

	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	return settings;
}
