import {withResolvers} from '../util/index.js';

/** Server or socket of Node.js that can be bound to a port. */
interface Bindable {
	once(event: 'error', listener: (err: Error) => void): unknown;
}

/**
 * Waits until a port is bound.
 * @param bindable - emits `error` when the port cannot be bound.
 * @param startBinding - starts binding and calls `done` when the port is bound.
 * @throws Error of the operating system.
 */
export async function bindPort(
	bindable: Bindable,
	startBinding: (done: () => void) => void,
): Promise<void> {
	const {promise, resolve} = withResolvers<Error | undefined>();
	bindable.once('error', resolve);
	startBinding(() => {
		resolve(undefined);
	});
	const err = await promise;
	if (err) {
		throw err;
	}
}
