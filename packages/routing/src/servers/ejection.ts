import type {Milliseconds} from '@parsleyvale/shared';
import type {RegionServers} from './region-servers.js';
import type {ServerState} from './server-state.js';

/** The most of a region's slots whose servers may be ejected at once. */
const maximumEjectedPart = 0.5;

export type EjectionVerdict = 'kept' | 'ejected' | 'refused' | 'all-suspect';

/**
 * Ejects a failing server, unless too few would be left. When more than the
 * allowed part fails, it is the measurement that is in doubt: all ejections of
 * the region end, and every failing server gets one request at a time.
 */
export function checkEjection(
	region: RegionServers,
	state: ServerState,
	now: Milliseconds,
): EjectionVerdict {
	if (!state.health.isFailing || state.health.getMode(now) === 'ejected') {
		return 'kept';
	}

	if (computeFailingPart(region) <= maximumEjectedPart) {
		state.health.startEjection(now);
		return 'ejected';
	}

	const ejected = region.usable.filter(
		(other) => other.health.getMode(now) === 'ejected',
	);
	for (const other of ejected) {
		other.health.cancelEjection(now);
	}

	return ejected.length > 0 ? 'all-suspect' : 'refused';
}

function computeFailingPart(region: RegionServers): number {
	let failing = 0;
	let all = 0;
	for (const state of region.usable) {
		all += state.server.slots;
		failing += state.health.isFailing ? state.server.slots : 0;
	}

	return all === 0 ? 1 : failing / all;
}
