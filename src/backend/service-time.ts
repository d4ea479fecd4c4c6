import type {Millis} from '../clock/index.js';

const durationWeight = 0.15;
const failureWeight = 0.1;
const initialServiceTime: Millis = 10;

/** Moving averages of the service time and the failure share of a backend server. */
export class ServiceTime {
	private mean: Millis = initialServiceTime;
	private failures = 0;
	private samples = 0;

	/** Average time of recent successful calls, in ms. */
	get average(): Millis {
		return this.mean;
	}

	/** Whether a successful call has been recorded. */
	get isKnown(): boolean {
		return this.samples > 0;
	}

	/** Share of recent calls that failed, from 0 to 1. */
	get failureShare(): number {
		return this.failures;
	}

	/**
	 * Records a call.
	 * @param duration - time that the backend server took, in ms.
	 * @param isFailure - whether the call failed; its duration is ignored then, as fast failures would
	 * make the backend server look fast.
	 */
	add(duration: Millis, isFailure: boolean): void {
		this.failures += failureWeight * ((isFailure ? 1 : 0) - this.failures);
		if (isFailure) {
			return;
		}

		this.samples += 1;
		const weight = Math.max(durationWeight, 1 / this.samples);
		this.mean += weight * (duration - this.mean);
	}
}
