import {setup} from 'xstate';

/** States of an operator's change. */
export enum ChangeState {
	/** It is checked and rendered. */
	Rendered = 'rendered',
	/** It is in the store, and zones fetch it. */
	Staged = 'staged',
	/** Every zone holds it, and it is in force or about to be. */
	Accepted = 'accepted',
	/** It was taken back, by its operator or another. */
	Withdrawn = 'withdrawn',
	/** Somebody else changed the declaration first. */
	Conflicting = 'conflicting',
}

/** What happens to an operator's change. */
export enum ChangeEvent {
	StageWritten = 'stage-written',
	StageConflict = 'stage-conflict',
	AcceptSeen = 'accept-seen',
	WithdrawSeen = 'withdraw-seen',
}

/** Lifecycle of an operator's change. */
export const changeMachine = setup({
	types: {events: {} as {type: ChangeEvent}},
}).createMachine({
	id: 'change',
	initial: ChangeState.Rendered,
	states: {
		[ChangeState.Rendered]: {
			on: {
				[ChangeEvent.StageWritten]: ChangeState.Staged,
				[ChangeEvent.StageConflict]: ChangeState.Conflicting,
			},
		},
		[ChangeState.Staged]: {
			on: {
				[ChangeEvent.AcceptSeen]: ChangeState.Accepted,
				[ChangeEvent.WithdrawSeen]: ChangeState.Withdrawn,
			},
		},
		[ChangeState.Accepted]: {type: 'final'},
		[ChangeState.Withdrawn]: {type: 'final'},
		[ChangeState.Conflicting]: {type: 'final'},
	},
});
