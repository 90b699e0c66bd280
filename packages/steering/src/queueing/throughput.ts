import {second, type Milliseconds} from '@parsleyvale/shared';

/** Time constant of the moving average of the throughput. */
const throughputTimeConstant: Milliseconds = second;

type Sample = {perSecond: number; at: Milliseconds};

/** Moving averages of events per second, by name. */
export class Throughput {
	readonly #samples = new Map<string, Sample>();

	onEvent(name: string, now: Milliseconds): void {
		this.#decay(name, now).perSecond += second / throughputTimeConstant;
	}

	/** Returns events per second, at least 1, as fewer are too few for an estimate. */
	computePerSecond(name: string, now: Milliseconds): number {
		return Math.max(1, this.#decay(name, now).perSecond);
	}

	#decay(name: string, now: Milliseconds): Sample {
		const sample = this.#samples.get(name) ?? {perSecond: 0, at: now};
		sample.perSecond *= Math.exp((sample.at - now) / throughputTimeConstant);
		sample.at = now;
		this.#samples.set(name, sample);
		return sample;
	}
}
