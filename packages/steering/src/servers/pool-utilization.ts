import type {Milliseconds} from '@parsleyvale/shared';
import type {ServicePool} from './service-pool.js';

/** How long a computed utilization is reused: one tick. */
const sampleLifetime: Milliseconds = 50;

type Sample = {readonly value: number; readonly at: Milliseconds};

/** Utilization of each service's servers: requests per slot. */
export class PoolUtilization {
	readonly #samples = new Map<string, Sample>();

	/** Returns 0 for an idle pool, 1 for as many requests as slots. */
	compute(
		service: string,
		pool: ServicePool | undefined,
		now: Milliseconds,
	): number {
		const sample = this.#samples.get(service);
		if (sample !== undefined && now - sample.at < sampleLifetime) {
			return sample.value;
		}

		let load = 0;
		let slots = 0;
		for (const state of pool?.servers ?? []) {
			if (state.isUsable(now) && !state.isStarting(now)) {
				load += state.computeLoad(now);
				slots += state.server.slots;
			}
		}

		const value = slots === 0 ? 1 : load / slots;
		this.#samples.set(service, {value, at: now});
		return value;
	}
}
