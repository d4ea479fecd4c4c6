/** The caller closed the connection before the request was complete. */
export class RequestBodyError extends Error {
	override name = 'RequestBodyError';
}
