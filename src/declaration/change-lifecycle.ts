import {setup} from 'xstate';

/** States of an operator's change. */
export enum ChangeState {
	/** The change is validated and rendered. */
	Rendered = 'rendered',
	/** The change is in the store, and zones fetch it. */
	Staged = 'staged',
	/** Every zone holds the change; it is in force or about to be. */
	Accepted = 'accepted',
	/** The change was withdrawn, by its operator or another. */
	Withdrawn = 'withdrawn',
	/** Another operator changed the declaration first. */
	Conflicting = 'conflicting',
}

/** Events in the lifecycle of an operator's change. */
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
