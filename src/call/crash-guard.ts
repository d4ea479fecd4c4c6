import {minute, type Millis} from '../clock/index.js';

/** A crash of a backend server and the requests that were in flight. */
export interface CrashReport {
	/** Unique identifier of the crash. */
	readonly crashId: string;
	readonly fingerprints: readonly string[];
}

/** A request fingerprint that is held. */
export interface Hold {
	readonly fingerprint: string;
	/** Monotonic time in ms. */
	readonly until: Millis;
}

type Suspicion = {crashes: Set<string>; lastCrash: Millis};

const crashesToHold = 2;
const suspicionPeriod: Millis = 2 * minute;
const holdPeriod: Millis = minute;
const answeredPeriod: Millis = minute;
const maxSuspicions = 10_000;
const maxAnswered = 10_000;

/**
 * Holds requests that were in flight at two crashes of backend servers. A request that was answered
 * recently is not suspected, so that unrelated requests in flight at a crash are not held.
 */
export class CrashGuard {
	private readonly suspicions = new Map<string, Suspicion>();
	private readonly holds = new Map<string, Millis>();
	private readonly answered = new Map<string, Millis>();

	/**
	 * @param fingerprint - hash of a request.
	 * @param now - monotonic time in ms.
	 * @returns whether the request is held and must not run now.
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
	 * Records that a request was answered.
	 * @param fingerprint - hash of the request.
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
	 * @param fingerprints - requests that were in flight when the local backend server crashed.
	 * @param now - monotonic time in ms.
	 * @returns the requests that may have caused the crash.
	 */
	suspects(fingerprints: readonly string[], now: Millis): string[] {
		return [...new Set(fingerprints)].filter((fingerprint) => {
			const answeredAt = this.answered.get(fingerprint);
			return answeredAt === undefined || now - answeredAt > answeredPeriod;
		});
	}

	/**
	 * Records a crash of the local backend server or of another.
	 * @param report - the crash.
	 * @param now - monotonic time in ms.
	 * @returns requests that are held as a result.
	 */
	recordCrash(report: CrashReport, now: Millis): string[] {
		const held: string[] = [];
		for (const fingerprint of report.fingerprints) {
			const suspicion = this.suspicion(fingerprint, now);
			suspicion.crashes.add(report.crashId);
			suspicion.lastCrash = now;
			if (suspicion.crashes.size >= crashesToHold) {
				this.holds.set(fingerprint, now + holdPeriod);
				held.push(fingerprint);
			}
		}

		return held;
	}

	/**
	 * Lifts a hold and clears the suspicion.
	 * @param fingerprint - hash of the request that may run again.
	 */
	lift(fingerprint: string): void {
		this.holds.delete(fingerprint);
		this.suspicions.delete(fingerprint);
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns the current holds.
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
		const isFresh = known !== undefined && now - known.lastCrash < suspicionPeriod;
		const suspicion = isFresh ? known : {crashes: new Set<string>(), lastCrash: now};
		this.suspicions.delete(fingerprint);
		this.suspicions.set(fingerprint, suspicion);
		if (this.suspicions.size > maxSuspicions) {
			this.suspicions.delete(this.suspicions.keys().next().value!);
		}

		return suspicion;
	}
}
