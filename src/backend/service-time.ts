import type {Millis} from '../clock/index.js';

const smoothing = 0.15;
const failureSmoothing = 0.1;
const initialServiceTime: Millis = 10;

/** Moving averages of how a backend server has answered of late. */
export class ServiceTime {
	private mean: Millis = initialServiceTime;
	private failures = 0;
	private samples = 0;

	/** Recent time for a call, in ms. */
	get average(): Millis {
		return this.mean;
	}

	/** Whether a call has ended since the start. */
	get isKnown(): boolean {
		return this.samples > 0;
	}

	/** Share of recent calls that failed, from 0 to 1. */
	get failureShare(): number {
		return this.failures;
	}

	/**
	 * @param duration - how long the backend server took, in ms.
	 * @param isFailure - whether it failed; quick failures must not look like quick answers.
	 */
	add(duration: Millis, isFailure: boolean): void {
		this.failures += failureSmoothing * ((isFailure ? 1 : 0) - this.failures);
		if (isFailure) {
			return;
		}

		this.samples += 1;
		const weight = Math.max(smoothing, 1 / this.samples);
		this.mean += weight * (duration - this.mean);
	}
}
