import {describe, expect, it} from 'vitest';
import {Saturation} from '../../index.js';

const slots = 10;

function learn(crowding: Saturation, isCrowded: boolean, ran: number): void {
	for (let i = 0; i < 30; i++) {
		crowding.recordRun(isCrowded, ran, 100);
	}
}

describe('Crowding', () => {
	it('keeps the last slots free at first, and then tries them', () => {
		const crowding = new Saturation();
		expect(crowding.limit(slots, 0)).toBe(8);
		learn(crowding, false, 100);
		expect(crowding.limit(slots, 0)).toBe(10);
	});

	it('keeps them free where they cost more than they bring, and tries again later', () => {
		const crowding = new Saturation();
		learn(crowding, false, 100);
		learn(crowding, true, 170);
		expect(crowding.limit(slots, 0)).toBe(8);
		expect(crowding.limit(slots, 9000)).toBe(8);
		expect(crowding.limit(slots, 11_000)).toBe(10);
	});

	it('uses all slots where calls take no longer on them', () => {
		const crowding = new Saturation();
		learn(crowding, false, 100);
		learn(crowding, true, 104);
		expect(crowding.limit(slots, 0)).toBe(10);
	});
});
