import {setup} from 'xstate';

/** States of a node. */
export enum NodeState {
	/** Its ports are being opened. */
	Starting = 'starting',
	/** It has no configuration or no membership yet and refuses calls. */
	Joining = 'joining',
	/** It takes calls. */
	Ready = 'ready',
	/** It finishes its work and takes no more. */
	Draining = 'draining',
	/** Nothing is in flight and nothing will come. */
	Stopped = 'stopped',
}

/** What happens to a node. */
export enum NodeEvent {
	Listening = 'listening',
	Synchronized = 'informed',
	StopRequested = 'stop-asked',
	Finished = 'finished',
}

/** Lifecycle of a node. */
export const nodeMachine = setup({
	types: {events: {} as {type: NodeEvent}},
}).createMachine({
	id: 'node',
	initial: NodeState.Starting,
	states: {
		[NodeState.Starting]: {
			on: {
				[NodeEvent.Listening]: NodeState.Joining,
				[NodeEvent.StopRequested]: NodeState.Stopped,
			},
		},
		[NodeState.Joining]: {
			on: {
				[NodeEvent.Synchronized]: NodeState.Ready,
				[NodeEvent.StopRequested]: NodeState.Draining,
			},
		},
		[NodeState.Ready]: {on: {[NodeEvent.StopRequested]: NodeState.Draining}},
		[NodeState.Draining]: {on: {[NodeEvent.Finished]: NodeState.Stopped}},
		[NodeState.Stopped]: {type: 'final'},
	},
});
