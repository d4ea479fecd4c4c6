import type {Clock, Millis} from '../clock/index.js';
import {withResolvers} from './with-resolvers.js';

/**
 * @param clock - sets the timer.
 * @param span - how long to wait, in ms.
 */
export async function pause(clock: Pick<Clock, 'after'>, span: Millis): Promise<void> {
	const {promise, resolve} = withResolvers<void>();
	clock.after(span, () => {
		resolve();
	});
	return promise;
}
