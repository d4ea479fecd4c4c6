import {withResolvers} from '../util/index.js';

/** What can be bound to a port: servers and sockets of Node.js. */
interface Bindable {
	once(event: 'error', listener: (err: Error) => void): unknown;
}

/**
 * Waits until a port is bound.
 * @param bindable - emits `error` when it cannot be bound.
 * @param bind - starts binding and calls back when it is done.
 * @throws Error of the operating system.
 */
export async function bindPort(
	bindable: Bindable,
	bind: (done: () => void) => void,
): Promise<void> {
	const {promise, resolve} = withResolvers<Error | undefined>();
	bindable.once('error', resolve);
	bind(() => {
		resolve(undefined);
	});
	const err = await promise;
	if (err) {
		throw err;
	}
}
