import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {hashContent, RevisionTracker, serializeDeclaration} from '../../index.js';

const contents = Array.from({length: 8}, (_, i) =>
	serializeDeclaration({deployment: `d${i}`, services: [], calls: [], links: []}),
);
const hashes = contents.map((content) => hashContent(content));

describe('RevisionTracker', () => {
	it('brings a revision into force only when it is accepted and its content is held', () => {
		const tracker = new RevisionTracker();
		tracker.merge({accepted: 0, acceptedHash: '', staged: 1, stagedHash: hashes[1]!});
		tracker.addContent(hashes[1]!, contents[1]!);
		expect(tracker.inForce).toBeUndefined();
		expect(tracker.heldRevision).toBe(1);
		tracker.merge({accepted: 1, acceptedHash: hashes[1]!, staged: 0, stagedHash: ''});
		expect(tracker.inForce?.revision).toBe(1);
	});

	it('rejects content that does not match its hash', () => {
		const tracker = new RevisionTracker();
		expect(() => {
			tracker.addContent(hashes[1]!, contents[2]!);
		}).toThrow('does not match its hash');
	});

	it('never lowers the revision in force, for any order of updates', () => {
		const step = fc.oneof(
			fc.record({kind: fc.constant('revisions'), accepted: fc.nat(7), staged: fc.nat(7)}),
			fc.record({kind: fc.constant('content'), accepted: fc.nat(7), staged: fc.constant(0)}),
		);
		fc.assert(
			fc.property(fc.array(step, {maxLength: 40}), (steps) => {
				const tracker = new RevisionTracker();
				let highest = 0;
				for (const {kind, accepted, staged} of steps) {
					if (kind === 'revisions') {
						const acceptedHash = hashes[accepted]!;
						tracker.merge({accepted, acceptedHash, staged, stagedHash: hashes[staged]!});
					} else {
						tracker.addContent(hashes[accepted]!, contents[accepted]!);
					}

					const revision = tracker.inForce?.revision ?? 0;
					expect(revision).toBeGreaterThanOrEqual(highest);
					expect(revision).toBeLessThanOrEqual(tracker.known.accepted);
					if (revision > 0) {
						expect(tracker.inForce?.declaration.deployment).toBe(`d${revision}`);
					}

					highest = revision;
				}
			}),
			{seed: 20_261_204, numRuns: 500},
		);
	});
});
