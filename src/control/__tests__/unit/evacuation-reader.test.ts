import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {EvacuatedZones} from '../../../evacuation/index.js';
import type {RowChange} from '../../../store/index.js';
import {EvacuationReader} from '../../index.js';

const prefix = 'evacuate/';

function row(key: string): RowChange {
	return {key, value: '', etag: '1'};
}

function removal(key: string): RowChange {
	return {key, value: undefined, etag: '1'};
}

function at(version: number, changes: readonly RowChange[], era = 1) {
	return {changes, position: {era, version}};
}

function createReader() {
	const zones = new EvacuatedZones(new ManualClock(1000), 'self');
	const ignored: unknown[] = [];
	const reader = new EvacuationReader({
		zones,
		logger: {
			log(_event, fields) {
				ignored.push(fields?.zone);
			},
		},
		evacuatedZone: (key) => (key.startsWith(prefix) ? key.slice(prefix.length) : undefined),
	});
	const current = () => zones.current.map(({zone}) => zone);
	return {reader, zones, ignored, current};
}

describe('EvacuationReader', () => {
	it('reads rows and their removal, and ignores rows of another meaning', () => {
		const {reader, current} = createReader();
		reader.read(at(4, [row('config'), row('evacuate/a')]), true);
		reader.read(at(5, [row('evacuate/b')]), false);
		expect(current()).toEqual(['a', 'b']);
		reader.read(at(6, [removal('evacuate/a')]), false);
		expect(current()).toEqual(['b']);
	});

	it('applies changes to the rows at its own position, not to a state that a peer has told', () => {
		const {reader, zones, current} = createReader();
		reader.read(at(4, [row('evacuate/a')]), true);
		zones.merge({position: {era: 1, version: 9}, zones: ['c']}, 'peer');
		reader.read(at(10, [row('evacuate/b')]), false);
		expect(current()).toEqual(['a', 'b']);
	});

	it('drops rows that are missing in a snapshot after a lost history or a restore', () => {
		const {reader, current} = createReader();
		reader.read(at(90, [row('evacuate/a')]), true);
		reader.read(at(95, []), true);
		expect(current()).toEqual([]);
		reader.read(at(3, [row('evacuate/b')], 2), true);
		expect(current()).toEqual(['b']);
	});

	it('ignores and logs rows without a usable name, and all above the number that messages can carry', () => {
		const {reader, ignored, current} = createReader();
		const many = Array.from({length: 33}, (_, i) => row(`evacuate/z${String(i).padStart(2, '0')}`));
		reader.read(at(4, [row('evacuate/'), row(`evacuate/${'x'.repeat(65)}`), ...many]), true);
		expect(current()).toHaveLength(32);
		expect(current()).not.toContain('z32');
		expect(ignored).toEqual(['', 'x'.repeat(64), 'z32']);
	});
});
