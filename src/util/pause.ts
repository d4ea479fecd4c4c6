import type {Clock, Millis} from '../clock/index.js';
import {withResolvers} from './with-resolvers.js';

/**
 * Resolves after a delay.
 * @param clock - clock that provides the timer.
 * @param span - delay in ms.
 */
export async function pause(clock: Pick<Clock, 'after'>, span: Millis): Promise<void> {
	const {promise, resolve} = withResolvers<void>();
	clock.after(span, () => {
		resolve();
	});
	return promise;
}
