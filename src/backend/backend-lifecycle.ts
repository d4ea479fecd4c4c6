import {assign, setup} from 'xstate';

/** States of a backend server as its node sees it. */
export enum BackendState {
	/** It has not announced itself, or no longer does. */
	Absent = 'absent',
	/** It has just started and gets a growing part of its slots. */
	Warming = 'warming',
	/** It takes work. */
	Serving = 'serving',
	/** It finishes its work and takes no more. */
	Draining = 'draining',
}

/** What happens to a backend server. */
export enum BackendEvent {
	Announced = 'announced',
	Warmed = 'warmed',
	Drained = 'drained',
	Silent = 'silent',
	Restarted = 'restarted',
}

/** Lifecycle of a backend server. */
export const backendMachine = setup({
	types: {
		context: {} as {starts: number},
		events: {} as {type: BackendEvent},
	},
	actions: {
		countStart: assign({starts: ({context}) => context.starts + 1}),
	},
}).createMachine({
	id: 'backend',
	initial: BackendState.Absent,
	context: {starts: 0},
	states: {
		[BackendState.Absent]: {
			on: {[BackendEvent.Announced]: {target: BackendState.Warming, actions: 'countStart'}},
		},
		[BackendState.Warming]: {
			on: {
				[BackendEvent.Warmed]: BackendState.Serving,
				[BackendEvent.Drained]: BackendState.Draining,
				[BackendEvent.Silent]: BackendState.Absent,
				[BackendEvent.Restarted]: {
					target: BackendState.Warming,
					actions: 'countStart',
					reenter: true,
				},
			},
		},
		[BackendState.Serving]: {
			on: {
				[BackendEvent.Drained]: BackendState.Draining,
				[BackendEvent.Silent]: BackendState.Absent,
				[BackendEvent.Restarted]: {target: BackendState.Warming, actions: 'countStart'},
			},
		},
		[BackendState.Draining]: {
			on: {
				[BackendEvent.Silent]: BackendState.Absent,
				[BackendEvent.Restarted]: {target: BackendState.Warming, actions: 'countStart'},
			},
		},
	},
});
