/** Phase that a member announces for itself. A higher value takes precedence within one version and liveness. */
export enum MemberPhase {
	/** The node has no backend server that can take calls. */
	Joining = 0,
	/** The backend server takes calls. */
	Serving = 1,
	/** The backend server finishes its running calls and takes no new ones. */
	Draining = 2,
	/** The node has stopped. */
	Left = 3,
}

/**
 * Result of failure detection by other members. A higher value takes precedence within one version, whatever
 * the phase.
 */
export enum Liveness {
	Alive = 0,
	Suspect = 1,
	Dead = 2,
}

/** Replicated record of one node and its backend server. */
export interface Member {
	/** Address and link port at which peers reach the node. */
	readonly id: string;
	/**
	 * Increases with each start of the process at this address, and when the node refutes a record of itself
	 * with a higher incarnation.
	 */
	readonly incarnation: number;
	/** Increases with each change that the member itself announces. */
	readonly version: number;
	readonly phase: MemberPhase;
	readonly liveness: Liveness;
	readonly region: string;
	readonly zone: string;
	/** Service of the backend server; empty until a backend server has announced itself. */
	readonly service: string;
	/** Calls that the backend server can run concurrently. */
	readonly slots: number;
}

/**
 * @param a - a record of a member.
 * @param b - another record of the same member.
 * @returns above 0 when `a` overrides `b`, below 0 when `b` overrides `a`, 0 when they are equal.
 */
export function compareMemberRecords(
	a: Pick<Member, 'incarnation' | 'version' | 'phase' | 'liveness'>,
	b: Pick<Member, 'incarnation' | 'version' | 'phase' | 'liveness'>,
): number {
	return (
		a.incarnation - b.incarnation ||
		a.version - b.version ||
		a.liveness - b.liveness ||
		a.phase - b.phase
	);
}

/** Incarnation of a member that is known only from the platform's store; any gossiped record overrides it. */
export const unconfirmedIncarnation = 0;

/**
 * Version of a confirmed member (a message from it has arrived) whose own record has not arrived; that record
 * overrides it.
 */
export const unconfirmedVersion = 0;

/**
 * @param member - a member record.
 * @returns whether the member is known only from the store, with no message or record received yet.
 */
export function isUnconfirmed(member: Pick<Member, 'incarnation'>): boolean {
	return member.incarnation === unconfirmedIncarnation;
}

/**
 * @param member - a member record.
 * @returns whether new calls can be routed to the member.
 */
export function isRoutable(member: Member): boolean {
	return member.phase === MemberPhase.Serving && member.liveness === Liveness.Alive;
}

/**
 * @param member - a member record.
 * @returns whether the member has neither left nor been declared dead.
 */
export function isPresent(member: Member): boolean {
	return member.phase !== MemberPhase.Left && member.liveness !== Liveness.Dead;
}
