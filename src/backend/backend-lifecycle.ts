import {assign, setup} from 'xstate';

/** State of a backend server as observed by its node. */
export enum BackendState {
	/** It has not announced itself, or its announcements have stopped. */
	Absent = 'absent',
	/** It has started recently and may use a growing part of its slots. */
	Warming = 'warming',
	/** It accepts calls. */
	Serving = 'serving',
	/** It finishes its running calls and accepts no new ones. */
	Draining = 'draining',
}

/** Events that change the state of a backend server. */
export enum BackendEvent {
	/** A backend server announced itself while none was present. */
	Announced = 'announced',
	/** Its warm-up period has ended. */
	Warmed = 'warmed',
	/** It was told to finish its running calls and accepts no new ones. */
	Drained = 'drained',
	/** Its announcements have stopped, or it refuses connections. */
	Silent = 'silent',
	/** Another start of the backend server announced itself while one was present. */
	Restarted = 'restarted',
}

/** State machine of the lifecycle of a backend server; counts its starts. */
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
