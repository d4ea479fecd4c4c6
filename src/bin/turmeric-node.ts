#!/usr/bin/env node
/** The node that stands beside a backend server. */
import {SystemClock, TurmericNode} from '../wiring/index.js';
import {runNodeProgram} from './node-program.js';

await runNodeProgram(
	'turmeric-node',
	(settings, logger) => new TurmericNode(settings, new SystemClock(), logger),
);
