import type {Socket} from 'node:net';
import {buildConnector} from 'undici';
import {isFramed} from './body-framing.js';
import {ContinueFilter, stripReads} from './continue-filter.js';
import {InterimAnswers} from './interim-answers.js';

/** @returns a connector for requests without a body, which skips interim answers with status 100. */
export function createHealthConnector(): buildConnector.connector {
	const connect = buildConnector({});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				skipContinues(socket);
			}

			callback(...result);
		});
	};
}

// The library writes the head of a request at once, and nothing else.
function skipContinues(socket: Socket): void {
	const answers = new ContinueFilter();
	stripReads(socket, answers);
	socket.write = new Proxy(socket.write, {
		apply(write, self, args: Parameters<Socket['write']>) {
			const interim = new InterimAnswers();
			answers.expectAnswer((headers) => !isFramed(headers) && interim.accept(headers));
			return Reflect.apply(write, self, args);
		},
	});
}
