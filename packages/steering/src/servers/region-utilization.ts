import type {Milliseconds} from '@parsleyvale/shared';
import type {ServicePool} from './service-pool.js';

/** Interval between samples: one tick. */
const sampleInterval: Milliseconds = 50;
/** Time constant of the moving average: shorter, requests would move between regions with every burst. */
const timeConstant: Milliseconds = 2000;

type Average = {value: number; at: Milliseconds};

type Sums = {load: number; slots: number};

/** Expected utilization of one service's servers in each region: requests per slot, averaged over two seconds. */
export class RegionUtilization {
	readonly #averages = new Map<string, Average>();
	#sampledAt: Milliseconds = Number.NEGATIVE_INFINITY;

	/** Returns undefined if no server of the region is usable. */
	find(
		region: string,
		pool: ServicePool | undefined,
		now: Milliseconds,
	): number | undefined {
		if (now - this.#sampledAt >= sampleInterval) {
			this.#sampledAt = now;
			this.#sample(pool, now);
		}

		return this.#averages.get(region)?.value;
	}

	#sample(pool: ServicePool | undefined, now: Milliseconds): void {
		const sums = sumByRegion(pool, now);
		for (const [region, {load, slots}] of sums) {
			const sample = load / slots;
			const average = this.#averages.get(region);
			if (average === undefined) {
				this.#averages.set(region, {value: sample, at: now});
				continue;
			}

			const gain = 1 - Math.exp(-(now - average.at) / timeConstant);
			average.value += gain * (sample - average.value);
			average.at = now;
		}

		for (const region of this.#averages.keys()) {
			if (!sums.has(region)) {
				this.#averages.delete(region);
			}
		}
	}
}

function sumByRegion(
	pool: ServicePool | undefined,
	now: Milliseconds,
): Map<string, Sums> {
	const sums = new Map<string, Sums>();
	for (const state of pool?.servers ?? []) {
		if (!state.isUsable(now) || state.isStarting(now)) {
			continue;
		}

		const {region, slots} = state.server;
		const sum = sums.get(region) ?? {load: 0, slots: 0};
		sum.load += state.computeLoad(now);
		sum.slots += slots;
		sums.set(region, sum);
	}

	return sums;
}
