#!/usr/bin/env node
/** Runs the node that serves as sidecar of a backend server. */
import {PlatformStore} from '../../platform/index.js';
import {SystemClock, TurmericNode} from '../wiring/index.js';
import {runNodeProgram} from './node-program.js';

await runNodeProgram('turmeric-node', (settings, logger) => {
	const {store: endpoint, address: localAddress} = settings;
	return new TurmericNode(
		settings,
		new SystemClock(),
		logger,
		(metrics) => endpoint && new PlatformStore({endpoint, localAddress, metrics}),
	);
});
