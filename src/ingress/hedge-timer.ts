import {build, type Histogram} from 'hdr-histogram-js';
import type {Millis} from '../clock/index.js';

const hedgePercentile = 95;
const samplesPerWindow = 200;
const minSamples = 50;
const minDelay: Millis = 2;
const highestDuration = 60_000;

type Window = {histogram: Histogram; count: number; delay: Millis | undefined};

/** Tells after how long a call is slower than its siblings. */
export class HedgeDelayEstimator {
	private readonly windows = new Map<string, Window>();

	/**
	 * @param service - name of a service.
	 * @returns time after which a second attempt is worth its cost, in ms; undefined while too little
	 * is known.
	 */
	delayFor(service: string): Millis | undefined {
		return this.windows.get(service)?.delay;
	}

	/**
	 * @param service - name of a service.
	 * @param duration - how long an answer took, in ms.
	 */
	add(service: string, duration: Millis): void {
		const window = this.window(service);
		window.histogram.recordValue(Math.min(highestDuration, Math.max(1, Math.round(duration))));
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
				highestTrackableValue: highestDuration,
				numberOfSignificantValueDigits: 2,
			});
			window = {histogram, count: 0, delay: undefined};
			this.windows.set(service, window);
		}

		return window;
	}
}
