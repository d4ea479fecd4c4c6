import {setup} from 'xstate';

/** States of a link to a peer. */
export enum LinkState {
	/** The socket is open; the peer has not proved who it is. */
	Authenticating = 'authenticating',
	/** The peer is known; calls may travel. */
	Open = 'open',
	/** Nothing travels any more. */
	Closed = 'closed',
}

/** What happens to a link. */
export enum LinkEvent {
	Proved = 'proved',
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
			on: {[LinkEvent.Proved]: LinkState.Open, [LinkEvent.Ended]: LinkState.Closed},
		},
		[LinkState.Open]: {on: {[LinkEvent.Ended]: LinkState.Closed}},
		[LinkState.Closed]: {type: 'final'},
	},
});
