import {setup} from 'xstate';

/** States of a link to a peer. */
export enum LinkState {
	/** The handshake has not completed. */
	Authenticating = 'authenticating',
	/** The peer is authenticated; frames of calls are accepted. */
	Open = 'open',
	/** The connection is closed. */
	Closed = 'closed',
}

/** Events that change the state of a link. */
export enum LinkEvent {
	Authenticated = 'authenticated',
	Ended = 'ended',
}

/** Lifecycle of a link. */
export const linkMachine = setup({
	types: {events: {} as {type: LinkEvent}},
}).createMachine({
	id: 'link',
	initial: LinkState.Authenticating,
	states: {
		[LinkState.Authenticating]: {
			on: {[LinkEvent.Authenticated]: LinkState.Open, [LinkEvent.Ended]: LinkState.Closed},
		},
		[LinkState.Open]: {on: {[LinkEvent.Ended]: LinkState.Closed}},
		[LinkState.Closed]: {type: 'final'},
	},
});
