import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason, type RequestHead} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {DeclarationIndex, type Declaration} from '../../../declaration/index.js';
import {EvacuatedZones, storeSource} from '../../../evacuation/index.js';
import {
	AttemptEnd,
	Cancellation,
	createBufferedBody,
	type Attempt,
	type AttemptResult,
} from '../../../exchange/index.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {withResolvers} from '../../../util/index.js';
import {Executor, PlaceCheck, type BackendSender, type WriteGate} from '../../index.js';

const place = {region: 'one', zone: 'a'};
const route = {
	name: 'bound',
	host: 'a.example',
	prefix: '/',
	isIdempotent: false,
	timeout: 1000,
	objective: 500,
	maxAttempts: 2,
	priority: 0,
	targets: [{service: 's', weight: 1}],
	allowedRegions: ['one', 'two'],
};
const customer = {customer: 'c', keyDigests: [], rate: 0, burst: 0, allowedRegions: ['two']};
const declaration: Declaration = {
	deployment: '',
	services: [],
	calls: [],
	links: [],
	routes: [route, {...route, name: 'elsewhere', allowedRegions: ['two']}],
	customers: [customer],
};
const inForce = new DeclarationIndex(1, declaration);

function createHead(routeName: string, change: Partial<RequestHead> = {}): RequestHead {
	return {
		service: 's',
		customer: '',
		method: 'POST',
		path: '/',
		headers: [],
		isIdempotent: false,
		key: undefined,
		origin: {requestId: 'r1', caller: '', route: routeName, priority: 0},
		fingerprint: 'f',
		...change,
	};
}

function createFixture(index: DeclarationIndex | undefined = inForce) {
	const clock = new ManualClock(1000);
	const zones = new EvacuatedZones(clock, 'self');
	const check = new PlaceCheck({place, zones, clock, revisions: {inForce: index}});
	const evacuate = () => {
		zones.merge({position: {era: 1, version: 1}, zones: ['a']}, storeSource);
	};

	return {clock, zones, check, evacuate};
}

describe('PlaceCheck', () => {
	it.each([
		['a route that allows this region', createHead('bound'), undefined],
		['a route that does not', createHead('elsewhere'), RefusalReason.RegionNotAllowed],
		[
			'a customer that does not',
			createHead('bound', {customer: 'c'}),
			RefusalReason.RegionNotAllowed,
		],
		[
			'an ingress that did not allow this region',
			createHead('bound', {allowedRegions: ['two']}),
			RefusalReason.RegionNotAllowed,
		],
		['a route that is not known here', createHead('newer'), undefined],
	])('decides on a request with %s', (_name, head, reason) => {
		expect(createFixture().check.check(head)).toBe(reason);
	});

	it('goes by what the ingress allows while there is no configuration', () => {
		const {check, clock} = createFixture(undefined);
		const unbound = new PlaceCheck({
			place,
			clock,
			zones: {isEvacuated: () => false},
			revisions: {inForce: undefined},
		});
		expect(check.check(createHead('elsewhere'))).toBe(RefusalReason.RegionNotAllowed);
		expect(unbound.check(createHead('elsewhere'))).toBeUndefined();
		expect(unbound.check(createHead('x', {allowedRegions: ['two']}))).toBe(
			RefusalReason.RegionNotAllowed,
		);
	});

	it('binds nested calls to what the request that they belong to allows, also after its attempt has ended', () => {
		const {check, clock} = createFixture();
		const origin = {caller: '', route: 'bound', priority: 0};
		check.check(createHead('bound', {origin: {...origin, requestId: 'r1'}}));
		const inner = {origin: {...origin, route: 'newer', requestId: 'r1-2'}};
		check.check(createHead('newer', {...inner, allowedRegions: ['one']}));
		check.check(createHead('newer', {origin: {...origin, route: 'newer', requestId: 'free'}}));
		check.check(createHead('elsewhere', {origin: {...origin, requestId: 'refused'}}));
		clock.advance(30_000);
		expect(check.regionsOfParent('r1-1')).toEqual(['one', 'two']);
		expect(check.regionsOfParent('r1-2-1')).toEqual(['one']);
		expect(check.regionsOfParent('r1')).toBeUndefined();
		expect(check.regionsOfParent('free-1')).toBeUndefined();
		clock.advance(31_000);
		expect(check.regionsOfParent('r1-1')).toBeUndefined();
	});

	it('refuses all requests while its zone is evacuated', () => {
		const {check, evacuate, zones} = createFixture();
		evacuate();
		expect(check.check(createHead('bound'))).toBe(RefusalReason.ZoneEvacuated);
		zones.merge({position: {era: 1, version: 2}, zones: ['b']}, storeSource);
		expect(check.check(createHead('bound'))).toBeUndefined();
	});
});

/** An executor with one slot whose backend server writes a request only when the test says so. */
function createExecutor() {
	const fixture = createFixture();
	const {clock, check} = fixture;
	const gates: WriteGate[] = [];
	const sender: BackendSender = {
		async send(_attempt, gate) {
			gates.push(gate);
			return withResolvers<AttemptResult>().promise;
		},
		close: () => undefined,
	};
	const executor = new Executor({
		clock,
		metrics: new Metrics(),
		logger: silentLogger,
		createSender: () => sender,
		crashWatch: {
			isHeld: () => false,
			recordAnswered: () => undefined,
			recordBroken: () => undefined,
		},
		checkPlace: (head) => check.check(head),
		onBackendUnreachable: () => undefined,
		onBackendLeaving: () => undefined,
		onLoadChanged: () => undefined,
		probeSpeed: async () => undefined,
	});
	executor.attach({endpoint: {address: '127.0.0.1', port: 9}, instance: 'i', connections: 9}, 's');
	executor.setLimits(1, 10);
	let sequence = 0;
	const run = async (head: RequestHead) => {
		sequence += 1;
		const attempt: Attempt = {
			id: {instance: 'peer', sequence},
			head,
			share: 1,
			deadline: new Deadline(clock.now() + 5000),
			objective: new Deadline(clock.now() + 3000),
			canRetryElsewhere: false,
			body: createBufferedBody(new Uint8Array()),
			cancellation: new Cancellation(),
		};
		return executor.run(attempt);
	};

	return {...fixture, executor, gates, run};
}

async function settle(): Promise<void> {
	for (let i = 0; i < 20; i++) {
		await Promise.resolve();
	}
}

describe('Executor', () => {
	it('refuses queued calls when its zone is evacuated, and a started one before its first byte is sent', async () => {
		const {executor, gates, run, evacuate} = createExecutor();
		void run(createHead('bound'));
		await settle();
		const queued = run(createHead('bound'));
		await settle();
		expect(gates[0]!.check()).toBeUndefined();
		expect(executor.callCount).toBe(2);
		evacuate();
		executor.refuseQueue(RefusalReason.ZoneEvacuated);
		expect(await queued).toMatchObject({
			end: AttemptEnd.Refused,
			reason: RefusalReason.ZoneEvacuated,
		});
		expect(executor.callCount).toBe(1);
		expect(await run(createHead('bound'))).toMatchObject({reason: RefusalReason.ZoneEvacuated});
	});

	it('checks the place of a started call again in the turn in which its first byte is written', async () => {
		const {gates, run, evacuate} = createExecutor();
		void run(createHead('bound'));
		await settle();
		evacuate();
		expect(gates[0]!.check()).toBe(RefusalReason.ZoneEvacuated);
	});

	it('refuses a call whose route here does not allow its region, although the ingress sent it', async () => {
		const {gates, run} = createExecutor();
		const result = await run(createHead('elsewhere'));
		expect(result).toMatchObject({
			end: AttemptEnd.Refused,
			reason: RefusalReason.RegionNotAllowed,
		});
		expect(gates).toHaveLength(0);
	});
});
