/** What a member says about itself. The order is the precedence within one version. */
export enum MemberPhase {
	/** The node has no backend server that could work. */
	Joining = 0,
	/** The backend server takes work. */
	Serving = 1,
	/** The backend server finishes its work and takes no more. */
	Draining = 2,
	/** The node has stopped. */
	Left = 3,
}

/** What others found out about a member. The order is the precedence within one version. */
export enum Liveness {
	Alive = 0,
	Suspect = 1,
	Dead = 2,
}

/** One node and its backend server, as the others know it. */
export interface Member {
	/** Address and link port under which peers reach the node. */
	readonly id: string;
	/** Grows with each start of the process at this address. */
	readonly incarnation: number;
	/** Grows with each change that the member itself declares. */
	readonly version: number;
	readonly phase: MemberPhase;
	readonly liveness: Liveness;
	readonly region: string;
	readonly zone: string;
	/** Service of the backend server; empty while none has announced itself. */
	readonly service: string;
	/** Calls that the backend server can run at once. */
	readonly slots: number;
}

/**
 * @param a - one account of a member.
 * @param b - another account of the same member.
 * @returns above 0 when `a` overrides `b`, below 0 when `b` overrides `a`, 0 when they agree.
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

/** Incarnation of a member that is only known from the platform's store: every account overrides it. */
export const unconfirmedIncarnation = 0;

/** Version of what is presumed of a member that lives: its own account overrides it. */
export const unconfirmedVersion = 0;

/**
 * @param member - whom to judge.
 * @returns whether nobody has told of the member yet.
 */
export function isUnconfirmed(member: Pick<Member, 'incarnation'>): boolean {
	return member.incarnation === unconfirmedIncarnation;
}

/**
 * @param member - whom to judge.
 * @returns whether the member can be given new work.
 */
export function isRoutable(member: Member): boolean {
	return member.phase === MemberPhase.Serving && member.liveness === Liveness.Alive;
}

/**
 * @param member - whom to judge.
 * @returns whether the member still runs as far as is known.
 */
export function isPresent(member: Member): boolean {
	return member.phase !== MemberPhase.Left && member.liveness !== Liveness.Dead;
}
