/** A promise with the function that resolves it. */
export interface Deferred<T> {
	readonly promise: Promise<T>;
	resolve(value: T): void;
}

/** @returns a promise and the function that resolves it. */
export function withResolvers<T>(): Deferred<T> {
	let settle: (value: T) => void = () => undefined;
	const promise = new Promise<T>((resolve) => {
		settle = resolve;
	});
	return {promise, resolve: settle};
}
