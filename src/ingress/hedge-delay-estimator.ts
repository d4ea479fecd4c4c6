import {build, type Histogram} from 'hdr-histogram-js';
import type {Millis} from '../clock/index.js';

const hedgePercentile = 95;
const samplesPerWindow = 200;
const minSamples = 50;
const minDelay: Millis = 2;
const maxDurationMs = 60_000;

type Window = {histogram: Histogram; count: number; delay: Millis | undefined};

/** Estimates the hedge delay of each service as a high percentile of its recent answer times. */
export class HedgeDelayEstimator {
	private readonly windows = new Map<string, Window>();

	/**
	 * @param service - name of a service.
	 * @returns the delay in ms after which a second attempt may be sent; undefined while there are too
	 * few samples.
	 */
	delayFor(service: string): Millis | undefined {
		return this.windows.get(service)?.delay;
	}

	/**
	 * @param service - name of a service.
	 * @param duration - time from sending the attempt to its answer, in ms.
	 */
	add(service: string, duration: Millis): void {
		const window = this.window(service);
		window.histogram.recordValue(Math.min(maxDurationMs, Math.max(1, Math.round(duration))));
		window.count += 1;
		const isFirst = window.delay === undefined && window.count >= minSamples;
		if (isFirst || window.count >= samplesPerWindow) {
			const percentile = window.histogram.getValueAtPercentile(hedgePercentile);
			window.delay = Math.max(minDelay, percentile);
		}

		if (window.count >= samplesPerWindow) {
			window.histogram.reset();
			window.count = 0;
		}
	}

	private window(service: string): Window {
		let window = this.windows.get(service);
		if (!window) {
			const histogram = build({
				lowestDiscernibleValue: 1,
				highestTrackableValue: maxDurationMs,
				numberOfSignificantValueDigits: 2,
			});
			window = {histogram, count: 0, delay: undefined};
			this.windows.set(service, window);
		}

		return window;
	}
}
