import type {Milliseconds} from '@parsleyvale/shared';
import type {RegionServers} from './region-servers.js';
import type {ServerState} from './server-state.js';

/** Maximum fraction of a region's slots on ejected servers. */
const maximumEjectedFraction = 0.5;

/** Minimum number of attempts for a meaningful success rate. */
const minimumSampleCount = 20;
/**
 * Maximum difference between a region's success rate and a server's lower one.
 */
const maximumSuccessRateGap = 0.3;

/** `refused`: not ejected, as too many servers are failing; `all-suspect`: ejections in the region were cancelled as well. */
export type EjectionDecision = 'kept' | 'ejected' | 'refused' | 'all-suspect';

/**
 * Ejects a failing server unless too few servers would remain. If more than the
 * allowed fraction is failing, the cause is probably not the servers: all
 * ejections in the region are cancelled, and each failing server receives one
 * request at a time.
 */
export function updateEjection(
	region: RegionServers,
	state: ServerState,
	now: Milliseconds,
): EjectionDecision {
	if (
		!isFailing(region, state, now) ||
		state.health.getMode(now) === 'ejected'
	) {
		return 'kept';
	}

	if (computeFailingFraction(region, now) <= maximumEjectedFraction) {
		state.health.startEjection(now);
		region.onEjected(state);
		return 'ejected';
	}

	const ejected = region.inService.filter(
		(ejectedState) => ejectedState.health.getMode(now) === 'ejected',
	);
	for (const ejectedState of ejected) {
		ejectedState.health.cancelEjection(now);
	}

	return ejected.length > 0 ? 'all-suspect' : 'refused';
}

function computeFailingFraction(
	region: RegionServers,
	now: Milliseconds,
): number {
	let failingSlots = 0;
	let totalSlots = 0;
	for (const state of region.inService) {
		totalSlots += state.server.slots;
		failingSlots += isFailing(region, state, now) ? state.server.slots : 0;
	}

	return totalSlots === 0 ? 1 : failingSlots / totalSlots;
}

/**
 * Whether a server has failed repeatedly or has a success rate far below its
 * region's.
 */
function isFailing(
	region: RegionServers,
	state: ServerState,
	now: Milliseconds,
): boolean {
	if (state.health.isFailing) {
		return true;
	}

	const successRate = state.successRate.get(now);
	const regionFailureRate = region.failureRate.get(now);
	return (
		successRate !== undefined &&
		regionFailureRate !== undefined &&
		state.successRate.getSampleCount(now) >= minimumSampleCount &&
		successRate < 1 - regionFailureRate - maximumSuccessRateGap
	);
}
