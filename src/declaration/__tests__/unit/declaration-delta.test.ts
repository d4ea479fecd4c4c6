import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	applyDelta,
	diffDeclarations,
	hashContent,
	RevisionTracker,
	serializeDeclaration,
	sortDeclaration,
	type Declaration,
	type RoutePolicy,
} from '../../index.js';

function routeOf(id: number, timeout: number): RoutePolicy {
	return {
		name: `r${id}`,
		host: `h${id}.example`,
		prefix: '/x/',
		isIdempotent: true,
		timeout,
		objective: 100,
		maxAttempts: 2,
		priority: 1,
		targets: [{service: 's', weight: 1}],
	};
}

function declarationOf(timeouts: ReadonlyMap<number, number>, hasCustomers = false): Declaration {
	return {
		deployment: '',
		services: [],
		calls: [],
		links: [],
		routes: [...timeouts].map(([id, timeout]) => routeOf(id, timeout)),
		...(hasCustomers && {customers: [{customer: 'c', keyDigests: ['d'], rate: 1, burst: 1}]}),
	};
}

function accept(tracker: RevisionTracker, revision: number, content: string): string {
	const acceptedHash = hashContent(content);
	tracker.merge({accepted: revision, acceptedHash, staged: 0, stagedHash: ''});
	return acceptedHash;
}

const timeouts = fc
	.array(fc.tuple(fc.nat(12), fc.nat(3)), {maxLength: 15})
	.map((entries) => new Map(entries));

describe('a delta between two declarations', () => {
	it('makes the later content out of the earlier one, in whatever order items were declared', () => {
		fc.assert(
			fc.property(timeouts, timeouts, fc.boolean(), fc.boolean(), (before, after, ...has) => {
				const base = declarationOf(before, has[0]);
				const next = declarationOf(after, has[1]);
				const delta = structuredClone(diffDeclarations(base, next));
				const result = serializeDeclaration(applyDelta(base, delta));
				expect(result).toBe(serializeDeclaration(sortDeclaration(next)));
			}),
			{seed: 20_261_205, numRuns: 500},
		);
	});

	it('of one route among a thousand is sent in under one percent of the content', () => {
		const before = new Map(Array.from({length: 1000}, (_, i) => [i, 1000]));
		const base = serializeDeclaration(sortDeclaration(declarationOf(before)));
		const next = serializeDeclaration(sortDeclaration(declarationOf(new Map(before).set(7, 900))));
		const holder = new RevisionTracker();
		const baseHash = accept(holder, 1, base);
		holder.addContent(baseHash, base);
		const nextHash = accept(holder, 2, next);
		holder.addContent(nextHash, next);
		const delta = holder.deltaOf(nextHash, baseHash)!;
		expect(delta.length).toBeLessThan(next.length / 100);

		const receiver = new RevisionTracker();
		accept(receiver, 1, base);
		receiver.addContent(baseHash, base);
		accept(receiver, 2, next);
		receiver.addDelta(nextHash, receiver.heldHash, delta);
		expect(receiver.inForce?.revision).toBe(2);
		expect(receiver.inForce?.route('h7.example', '/x/')?.timeout).toBe(900);
	});

	it('is not made from a content that is no longer held, nor used where it does not fit the hash', () => {
		const content = serializeDeclaration(declarationOf(new Map([[1, 1]])));
		const tracker = new RevisionTracker();
		const hash = accept(tracker, 1, content);
		tracker.addContent(hash, content);
		expect(tracker.deltaOf(hash, 'unknown')).toBeUndefined();
		const delta = JSON.stringify({fields: {}, lists: {routes: {removed: ['r1'], changed: []}}});
		expect(() => {
			tracker.addDelta('other', hash, delta);
		}).toThrow('does not match its hash');
		expect(tracker.inForce?.revision).toBe(1);
	});
});
