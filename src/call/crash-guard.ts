import {minute, type Millis} from '../clock/index.js';

/** A crash of a backend server with the requests that were in flight. */
export interface CrashReport {
	/** Unique for each crash. */
	readonly crashId: string;
	readonly fingerprints: readonly string[];
}

/** A request that is held back. */
export interface Hold {
	readonly fingerprint: string;
	/** Monotonic time in ms. */
	readonly until: Millis;
}

type Suspicion = {crashes: Set<string>; lastCrash: Millis};

const crashesToHold = 2;
const suspicionTime: Millis = 2 * minute;
const holdTime: Millis = minute;
const answeredTime: Millis = minute;
const maxSuspicions = 10_000;
const maxAnswered = 10_000;

/**
 * Holds back requests that were in flight at two crashes of backend servers. A request that was
 * answered of late is not blamed, so that neighbours in flight at a crash are not held for it.
 */
export class CrashGuard {
	private readonly suspicions = new Map<string, Suspicion>();
	private readonly holds = new Map<string, Millis>();
	private readonly answered = new Map<string, Millis>();

	/**
	 * @param fingerprint - hash of a request.
	 * @param now - monotonic time in ms.
	 * @returns whether the request must not run now.
	 */
	isHeld(fingerprint: string, now: Millis): boolean {
		const until = this.holds.get(fingerprint);
		if (until !== undefined && now >= until) {
			this.holds.delete(fingerprint);
			return false;
		}

		return until !== undefined;
	}

	/**
	 * A request was answered.
	 * @param fingerprint - its hash.
	 * @param now - monotonic time in ms.
	 */
	recordAnswered(fingerprint: string, now: Millis): void {
		this.suspicions.delete(fingerprint);
		this.answered.delete(fingerprint);
		this.answered.set(fingerprint, now);
		if (this.answered.size > maxAnswered) {
			this.answered.delete(this.answered.keys().next().value!);
		}
	}

	/**
	 * @param fingerprints - requests that were in flight when a backend server crashed here.
	 * @param now - monotonic time in ms.
	 * @returns those that may be to blame.
	 */
	suspects(fingerprints: readonly string[], now: Millis): string[] {
		return [...new Set(fingerprints)].filter((fingerprint) => {
			const answeredAt = this.answered.get(fingerprint);
			return answeredAt === undefined || now - answeredAt > answeredTime;
		});
	}

	/**
	 * Takes in a crash, of the own backend server or of another.
	 * @param report - the crash.
	 * @param now - monotonic time in ms.
	 * @returns requests that are held from now on.
	 */
	recordCrash(report: CrashReport, now: Millis): string[] {
		const held: string[] = [];
		for (const fingerprint of report.fingerprints) {
			const suspicion = this.suspicion(fingerprint, now);
			suspicion.crashes.add(report.crashId);
			suspicion.lastCrash = now;
			if (suspicion.crashes.size >= crashesToHold) {
				this.holds.set(fingerprint, now + holdTime);
				held.push(fingerprint);
			}
		}

		return held;
	}

	/**
	 * @param fingerprint - a request that an operator lets run again.
	 */
	lift(fingerprint: string): void {
		this.holds.delete(fingerprint);
		this.suspicions.delete(fingerprint);
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns what is held back.
	 */
	list(now: Millis): Hold[] {
		const holds: Hold[] = [];
		for (const [fingerprint, until] of this.holds) {
			if (this.isHeld(fingerprint, now)) {
				holds.push({fingerprint, until});
			}
		}

		return holds;
	}

	private suspicion(fingerprint: string, now: Millis): Suspicion {
		const known = this.suspicions.get(fingerprint);
		const isFresh = known !== undefined && now - known.lastCrash < suspicionTime;
		const suspicion = isFresh ? known : {crashes: new Set<string>(), lastCrash: now};
		this.suspicions.delete(fingerprint);
		this.suspicions.set(fingerprint, suspicion);
		if (this.suspicions.size > maxSuspicions) {
			this.suspicions.delete(this.suspicions.keys().next().value!);
		}

		return suspicion;
	}
}
