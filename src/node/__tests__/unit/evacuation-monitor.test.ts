import {describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {EvacuatedZones, storeSource} from '../../../evacuation/index.js';
import {createLocalMember, Liveness, MemberPhase} from '../../../membership/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {logEvents, Metrics, type LogDetails} from '../../../telemetry/index.js';
import {EvacuationMonitor} from '../../evacuation-monitor.js';
import {listZones} from '../../zone-list.js';

const peer = '10.0.0.2:7001';

function createFixture() {
	const clock = new ManualClock(1000);
	const receivers: string[] = [];
	const gossip = createTestGossip(clock, {
		send(to) {
			receivers.push(to);
		},
	});
	gossip.directory.merge(createLocalMember(peer, 1, {region: 'r', zone: 'other'}));
	const zones = new EvacuatedZones(clock, gossip.localMember.id);
	const metrics = new Metrics();
	const events: Array<[string, LogDetails]> = [];
	const refused: RefusalReason[] = [];
	new EvacuationMonitor({
		clock,
		metrics,
		gossip,
		zones,
		logger: {
			log(event, details = {}) {
				events.push([event.name, details]);
			},
		},
		executor: {
			refuseQueue(reason) {
				refused.push(reason);
			},
		},
	}).start();
	const merge = (version: number, ...names: string[]) => {
		zones.merge({position: {era: 2, version}, zones: names}, storeSource);
	};

	const gauges = async () => {
		const evacuated = await metrics.evacuatedZones.get();
		const own = await metrics.isEvacuated.get();
		return [evacuated.values[0]!.value, own.values[0]!.value];
	};

	return {clock, gossip, zones, events, refused, receivers, merge, gauges};
}

describe('EvacuationMonitor', () => {
	it('refuses the queued calls of an evacuated zone, tells peers, and records begin and end', async () => {
		const {events, refused, receivers, merge, gauges} = createFixture();
		merge(5, 'z');
		expect(refused).toEqual([RefusalReason.ZoneEvacuated]);
		expect(receivers).toEqual([peer]);
		expect(await gauges()).toEqual([1, 1]);
		merge(6);
		expect(await gauges()).toEqual([0, 0]);
		expect(events).toEqual([
			[logEvents.zoneEvacuated.name, {zone: 'z', source: storeSource, era: 2, version: 5}],
			[logEvents.evacuationEnded.name, {zone: 'z', source: storeSource, era: 2, version: 6}],
		]);
		expect(refused).toHaveLength(1);
	});

	it('leaves the queue of another zone alone', async () => {
		const {refused, merge, gauges} = createFixture();
		merge(5, 'other');
		expect(refused).toEqual([]);
		expect(await gauges()).toEqual([1, 0]);
	});

	it('logs a zone without members once the node has had time to learn of all members', () => {
		const {clock, gossip, events, merge} = createFixture();
		const names = () => events.map(([name, {zone}]) => [name, zone]);
		merge(5, 'nowhere', 'late', 'over');
		gossip.directory.merge(createLocalMember('10.0.0.3:7001', 1, {region: 'r', zone: 'late'}));
		merge(6, 'nowhere', 'late');
		clock.advance(6000);
		const unknown = names().filter(([name]) => name === logEvents.evacuationUnknownZone.name);
		expect(unknown).toEqual([[logEvents.evacuationUnknownZone.name, 'nowhere']]);
	});
});

describe('listZones', () => {
	it('lists zones with their members, and evacuations with age and source, also of unknown zones', () => {
		const serving = {phase: MemberPhase.Serving};
		const members = [
			{...createLocalMember('1', 1, {region: 'r', zone: 'b'}), ...serving},
			{...createLocalMember('2', 1, {region: 'r', zone: 'a'}), ...serving},
			createLocalMember('3', 1, {region: 'r', zone: 'a'}),
			{...createLocalMember('4', 1, {region: 'r', zone: 'a'}), liveness: Liveness.Dead},
		];
		const evacuations = [
			{zone: 'r/a', since: 1000, source: storeSource},
			{zone: 'x', since: 1500, source: peer},
		];
		expect(listZones(members, evacuations, 2500)).toEqual([
			{
				zone: 'a',
				region: 'r',
				members: 2,
				serving: 1,
				isEvacuated: true,
				age: 1500,
				source: storeSource,
			},
			{zone: 'b', region: 'r', members: 1, serving: 1, isEvacuated: false},
			{zone: 'x', region: '', members: 0, serving: 0, isEvacuated: true, age: 1000, source: peer},
		]);
	});
});
