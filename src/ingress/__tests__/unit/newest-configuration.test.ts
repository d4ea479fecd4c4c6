import {describe, expect, it} from 'vitest';
import {RefusalReason, refusals} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {
	hashContent,
	RevisionTracker,
	serializeDeclaration,
	type Declaration,
} from '../../../declaration/index.js';
import {RefusedRequestError} from '../../caller-protocol.js';
import {NewestConfiguration} from '../../newest-configuration.js';

const declaration: Declaration = {deployment: '', services: [], calls: [], links: []};
/** Statuses that tell a caller that its request can never be accepted. */
const finalStatuses: ReadonlySet<number> = new Set([401, 403, 404, 413]);
const configurationReasons = Object.values(RefusalReason).filter((reason) =>
	finalStatuses.has(refusals[reason].status),
);

function contentOf(revision: number): string {
	return serializeDeclaration({...declaration, deployment: String(revision)});
}

function createTracker(...held: readonly number[]) {
	const revisions = new RevisionTracker();
	const announce = (revision: number) => {
		const acceptedHash = hashContent(contentOf(revision));
		revisions.merge({accepted: revision, acceptedHash, staged: 0, stagedHash: ''});
	};

	const hold = (revision: number) => {
		announce(revision);
		revisions.addContent(hashContent(contentOf(revision)), contentOf(revision));
	};

	for (const revision of held) {
		hold(revision);
	}

	return {revisions, announce, hold};
}

/** Decides one request that only the given revision accepts; tells the status, 200 if it is accepted. */
async function decide(
	{revisions}: ReturnType<typeof createTracker>,
	reason: RefusalReason,
	acceptedBy: number,
	meanwhile: () => void = () => undefined,
): Promise<number> {
	const clock = new ManualClock();
	const newest = new NewestConfiguration(clock, revisions, () => revisions.inForce);
	const result = newest
		.read(({revision}) => {
			if (revision < acceptedBy) {
				throw new RefusedRequestError(reason);
			}

			return 200;
		})
		.catch((err: unknown) => refusals[(err as RefusedRequestError).reason].status);
	await Promise.resolve();
	meanwhile();
	clock.advance(1000);
	return result;
}

describe('NewestConfiguration', () => {
	it('answers 503 while the node knows no configuration', async () => {
		expect(await decide(createTracker(), RefusalReason.NoRoute, 1)).toBe(503);
	});

	it.each(configurationReasons)(
		'answers 503, not the final status of %s, while the node knows that it is behind',
		async (reason) => {
			const tracker = createTracker(1);
			tracker.announce(2);
			expect(await decide(tracker, reason, 2)).toBe(503);
		},
	);

	it.each(configurationReasons)('refuses for %s by the newest configuration', async (reason) => {
		const status = await decide(createTracker(1), reason, 2);
		expect(finalStatuses.has(status)).toBe(true);
	});

	it('accepts a request by a configuration that arrives while it waits', async () => {
		const tracker = createTracker(1);
		tracker.announce(2);
		const arrive = () => {
			tracker.hold(2);
		};

		expect(await decide(tracker, RefusalReason.NoRoute, 2, arrive)).toBe(200);
	});

	it('answers 503 when a further change is known by the time that the awaited one arrives', async () => {
		const tracker = createTracker(1);
		tracker.announce(2);
		const arrive = () => {
			tracker.hold(2);
			tracker.announce(3);
		};

		expect(await decide(tracker, RefusalReason.NoRoute, 3, arrive)).toBe(503);
	});
});
