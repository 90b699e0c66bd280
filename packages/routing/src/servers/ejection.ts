import type {Milliseconds} from '@parsleyvale/shared';
import type {RegionServers} from './region-servers.js';
import type {ServerState} from './server-state.js';

/** The most of a region's slots whose servers may be ejected at once. */
const maximumEjectedPart = 0.5;

/** Fewer attempts than this make no success rate. */
const samplesToJudge = 20;
/** How far a server's success rate may lie below its region's. */
const toleratedDifference = 0.3;

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
	if (
		!isFailing(region, state, now) ||
		state.health.getMode(now) === 'ejected'
	) {
		return 'kept';
	}

	if (computeFailingPart(region, now) <= maximumEjectedPart) {
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

function computeFailingPart(region: RegionServers, now: Milliseconds): number {
	let failing = 0;
	let all = 0;
	for (const state of region.usable) {
		all += state.server.slots;
		failing += isFailing(region, state, now) ? state.server.slots : 0;
	}

	return all === 0 ? 1 : failing / all;
}

/** By failures in a row, or by a success rate far below the region's. */
function isFailing(
	region: RegionServers,
	state: ServerState,
	now: Milliseconds,
): boolean {
	if (state.health.isFailing) {
		return true;
	}

	const own = state.successRate.get(now);
	const failures = region.failureRate.get(now);
	return (
		own !== undefined &&
		failures !== undefined &&
		state.successRate.getSamples(now) >= samplesToJudge &&
		own < 1 - failures - toleratedDifference
	);
}
