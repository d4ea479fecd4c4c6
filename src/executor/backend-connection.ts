import {Client, type Dispatcher} from 'undici';
import type {Millis} from '../clock/index.js';
import type {BackendCall} from './backend-call.js';
import {ConnectionEnds} from './connection-ends.js';

/** A request together with the call that it belongs to. */
export interface BackendRequest extends Dispatcher.DispatchOptions {
	readonly call: BackendCall;
}

/** Sends one request after the other over one connection, which is opened again when it is lost. */
export class BackendConnection extends Client {
	/**
	 * @param origin - URL of the backend server.
	 * @param connectTimeout - time-out for opening the connection, in ms.
	 */
	constructor(
		origin: string | URL,
		connectTimeout: Millis,
		private readonly ends = new ConnectionEnds(),
	) {
		super(origin, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: ends.createConnector(connectTimeout),
		});
	}

	override dispatch(request: BackendRequest, handler: Dispatcher.DispatchHandler): boolean {
		request.call.setConnection(this.ends);
		return super.dispatch(request, handler);
	}
}
