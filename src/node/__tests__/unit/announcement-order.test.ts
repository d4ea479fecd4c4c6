import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {AnnouncementOrder} from '../../announcement-order.js';

const seed = 20_261_207;
const period = 1500;
const minPeriod = period / 2;

describe(`order of announcements (seed ${seed})`, () => {
	it('takes those in order, also behind lost ones, and none twice or late', () => {
		const order = new AnnouncementOrder(7, 0, minPeriod);
		const numbers = [8, 12, 12, 11, 8, 12, 13];
		const taken = numbers.filter((number, i) => order.accept(number, (i + 1) * period));
		expect(taken).toEqual([8, 12, 13]);
	});

	// Guards against numbers of another writer that make those of the running server late.
	it('takes each announcement of a server, or all from the second on, whatever single number comes between', () => {
		fc.assert(
			fc.property(fc.nat({max: 10}), fc.maxSafeNat(), (position, odd) => {
				const order = new AnnouncementOrder(position === 0 ? odd : 0, 0, minPeriod);
				let lost = 0;
				for (let number = 1; number <= 20; number += 1) {
					const at = number * period;
					if (number === position) {
						order.accept(odd, at - 1);
					}

					lost += order.accept(number, at) ? 0 : 1;
				}

				const isAhead = odd - position;
				const maxLost = position === 0 ? 1 : isAhead <= 6 ? 6 : 0;
				expect(lost).toBeLessThanOrEqual(maxLost);
			}),
			{seed},
		);
	});

	it('takes no single late one, however often it is repeated', () => {
		fc.assert(
			fc.property(fc.nat({max: 99}), fc.nat({max: 20}), (late, repetitions) => {
				const order = new AnnouncementOrder(100, 0, minPeriod);
				for (let i = 0; i <= repetitions; i += 1) {
					expect(order.accept(late, i * period)).toBe(false);
				}
			}),
			{seed},
		);
	});
});
