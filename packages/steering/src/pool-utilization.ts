import type {Milliseconds} from '@parsleyvale/shared';
import type {ServicePool} from './service-pool.js';

/** A reading is used for this long: a tick. */
const readingLifetime: Milliseconds = 50;

type Reading = {readonly value: number; readonly at: Milliseconds};

/** How full the servers of each service are: requests for each slot. */
export class PoolUtilization {
	readonly #readings = new Map<string, Reading>();

	/** 0: idle; 1: as many requests as slots. */
	compute(
		service: string,
		pool: ServicePool | undefined,
		now: Milliseconds,
	): number {
		const known = this.#readings.get(service);
		if (known !== undefined && now - known.at < readingLifetime) {
			return known.value;
		}

		let load = 0;
		let slots = 0;
		for (const state of pool?.servers ?? []) {
			if (state.isUsable(now) && !state.isCold(now)) {
				load += state.computeLoad(now);
				slots += state.server.slots;
			}
		}

		const value = slots === 0 ? 1 : load / slots;
		this.#readings.set(service, {value, at: now});
		return value;
	}
}
