import {setup} from 'xstate';

/** States of a node. */
export enum NodeState {
	/** Opens its ports. */
	Starting = 'starting',
	/** Has no configuration or no membership yet; refuses calls. */
	Joining = 'joining',
	/** Accepts calls. */
	Ready = 'ready',
	/** Finishes the calls in flight and accepts no new ones. */
	Draining = 'draining',
	/** Nothing is in flight and the ports are closed. */
	Stopped = 'stopped',
}

/** Events that change the state of a node. */
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
