import type {Milliseconds} from '@parsleyvale/shared';
import type {RegionServers} from './servers/region-servers.js';

/**
 * How long a request would wait for the next of this host's own requests in
 * the region to end; undefined when that cannot be told.
 */
export function computeWait(
	region: RegionServers,
	waiting: number,
	now: Milliseconds,
): Milliseconds | undefined {
	const serviceTime = region.serviceTime.get(now);
	return serviceTime === undefined || region.inFlight === 0
		? undefined
		: ((waiting + 1) * serviceTime) / region.inFlight;
}
