import {describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {EvacuatedZones, storeSource} from '../../../evacuation/index.js';
import {createLocalMember} from '../../../membership/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {logEvents, Metrics, type LogDetails} from '../../../telemetry/index.js';
import {EvacuationMonitor} from '../../evacuation-monitor.js';

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
	const returned: number[] = [];
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
		onOwnZoneReturned() {
			returned.push(clock.now());
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

	return {clock, gossip, events, refused, returned, receivers, merge, gauges};
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
		const {refused, returned, merge, gauges} = createFixture();
		merge(5, 'other');
		expect(refused).toEqual([]);
		expect(await gauges()).toEqual([1, 0]);
		merge(6);
		expect(returned).toEqual([]);
	});

	it('tells when the local zone returns, as its backend server may be cold by then', () => {
		const {returned, merge} = createFixture();
		merge(5, 'z', 'other');
		merge(6, 'z');
		expect(returned).toEqual([]);
		merge(7);
		expect(returned).toHaveLength(1);
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
