import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {hashContent, RevisionTracker, serializeDeclaration} from '../../index.js';

const contents = Array.from({length: 8}, (_, i) =>
	serializeDeclaration({deployment: `d${i}`, services: [], calls: [], links: []}),
);
const hashes = contents.map((content) => hashContent(content));

describe('RevisionKeeper', () => {
	it('switches only to a revision that is accepted and held', () => {
		const keeper = new RevisionTracker();
		keeper.merge({accepted: 0, acceptedHash: '', staged: 1, stagedHash: hashes[1]!});
		keeper.addContent(hashes[1]!, contents[1]!);
		expect(keeper.inForce).toBeUndefined();
		expect(keeper.heldRevision).toBe(1);
		keeper.merge({accepted: 1, acceptedHash: hashes[1]!, staged: 0, stagedHash: ''});
		expect(keeper.inForce?.revision).toBe(1);
	});

	it('refuses a content that is not what its hash names', () => {
		const keeper = new RevisionTracker();
		expect(() => {
			keeper.addContent(hashes[1]!, contents[2]!);
		}).toThrow('does not match its hash');
	});

	it('never goes down, whatever it hears in whatever order', () => {
		const step = fc.oneof(
			fc.record({kind: fc.constant('news'), accepted: fc.nat(7), staged: fc.nat(7)}),
			fc.record({kind: fc.constant('content'), accepted: fc.nat(7), staged: fc.constant(0)}),
		);
		fc.assert(
			fc.property(fc.array(step, {maxLength: 40}), (steps) => {
				const keeper = new RevisionTracker();
				let highest = 0;
				for (const {kind, accepted, staged} of steps) {
					if (kind === 'news') {
						const acceptedHash = hashes[accepted]!;
						keeper.merge({accepted, acceptedHash, staged, stagedHash: hashes[staged]!});
					} else {
						keeper.addContent(hashes[accepted]!, contents[accepted]!);
					}

					const revision = keeper.inForce?.revision ?? 0;
					expect(revision).toBeGreaterThanOrEqual(highest);
					expect(revision).toBeLessThanOrEqual(keeper.known.accepted);
					if (revision > 0) {
						expect(keeper.inForce?.declaration.deployment).toBe(`d${revision}`);
					}

					highest = revision;
				}
			}),
			{seed: 20_261_204, numRuns: 500},
		);
	});
});
