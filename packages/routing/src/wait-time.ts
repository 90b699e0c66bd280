import type {Milliseconds} from '@parsleyvale/shared';
import type {RegionServers} from './servers/region-servers.js';

/**
 * Estimates how long a request would wait for a slot, based on this host's own
 * requests in the region. Returns `undefined` if there is no estimate.
 */
export function estimateWaitTime(
	region: RegionServers,
	waiting: number,
	now: Milliseconds,
): Milliseconds | undefined {
	const serviceTime = region.serviceTime.get(now);
	return serviceTime === undefined || region.inFlight === 0
		? undefined
		: ((waiting + 1) * serviceTime) / region.inFlight;
}
