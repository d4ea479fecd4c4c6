import {RefusalReason} from '../call/index.js';
import type {Clock, Millis} from '../clock/index.js';
import type {DeclarationIndex, RevisionTracker} from '../declaration/index.js';
import {withResolvers} from '../util/index.js';
import {RefusedRequestError} from './caller-protocol.js';

/** Refusals that a newer configuration may turn into an acceptance. */
const configurationReasons: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.NoService,
	RefusalReason.NoRoute,
	RefusalReason.BodyTooLarge,
	RefusalReason.UnknownCustomer,
	RefusalReason.UnknownKey,
]);
/**
 * How long a request waits for a configuration that the node fetches. A peer of the same region answers within a few
 * milliseconds; a refusal after an eighth of the objective counts as late, and objectives start at about 430 ms.
 */
const maxFetchWait: Millis = 50;

/** Decides requests by the newest configuration that the node knows of. */
export class NewestConfiguration {
	constructor(
		private readonly clock: Pick<Clock, 'after'>,
		private readonly revisions: Pick<RevisionTracker, 'isBehind' | 'registerListener'>,
		/** Returns the configuration in force; undefined while the node is not ready. */
		private readonly configuration: () => DeclarationIndex | undefined,
	) {}

	/**
	 * Reads a request by the configuration in force. A node that knows that a newer one was accepted refuses nothing for
	 * want of a route, a service, a customer or a key: it waits for the newer one for a short time and then refuses as
	 * not ready.
	 * @param read - reads the request by a configuration.
	 * @returns what `read` returns.
	 * @throws {@link RefusedRequestError} when the request is refused.
	 */
	async read<T>(read: (index: DeclarationIndex) => T): Promise<T> {
		try {
			return read(this.inForce());
		} catch (err) {
			if (!this.mayBeOutdated(err)) {
				throw err;
			}
		}

		await this.untilChanged();
		try {
			return read(this.inForce());
		} catch (err) {
			throw this.mayBeOutdated(err) ? new RefusedRequestError(RefusalReason.NotReady) : err;
		}
	}

	private inForce(): DeclarationIndex {
		const index = this.configuration();
		if (!index) {
			throw new RefusedRequestError(RefusalReason.NotReady);
		}

		return index;
	}

	private mayBeOutdated(err: unknown): boolean {
		return (
			this.revisions.isBehind &&
			err instanceof RefusedRequestError &&
			configurationReasons.has(err.reason)
		);
	}

	private async untilChanged(): Promise<void> {
		const {promise, resolve} = withResolvers<undefined>();
		const finish = () => {
			resolve(undefined);
		};

		const undoTimer = this.clock.after(maxFetchWait, finish);
		const undoListener = this.revisions.registerListener(finish);
		await promise;
		undoTimer();
		undoListener();
	}
}
