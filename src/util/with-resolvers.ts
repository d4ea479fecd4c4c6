/** A promise with the function that settles it. */
export interface Deferred<T> {
	readonly promise: Promise<T>;
	resolve(value: T): void;
}

/** @returns a promise that is settled from outside. */
export function withResolvers<T>(): Deferred<T> {
	let settle: (value: T) => void = () => undefined;
	const promise = new Promise<T>((resolve) => {
		settle = resolve;
	});
	return {promise, resolve: settle};
}
