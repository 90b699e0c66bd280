import type {AttemptResult} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {Placement} from './placement.js';

const minimumServerErrorStatus = 500;

/** What the result of an attempt indicates about the server. */
export type Assessment = {
	/** Whether the server failed to handle the request. */
	readonly isFailure: boolean;
	/**
	 * Whether the outcome says nothing about success or failure: the attempt was
	 * cancelled, or the server refused it.
	 */
	readonly isInconclusive: boolean;
	/** Time taken by the server, excluding the network round trip. */
	readonly serviceTime: Milliseconds | undefined;
	/** Whether the failure concerns the server rather than a single request. */
	readonly isUnreachable: boolean;
};

/** Classifies the result of an attempt. */
export function assessResult(
	placement: Placement,
	result: AttemptResult,
	now: Milliseconds,
): Assessment {
	const isUnreachable =
		result.outcome === 'not-sent' ||
		result.outcome === 'unknown' ||
		result.outcome === 'cut';
	const isServerError =
		result.outcome === 'answered' &&
		(result.status ?? 0) >= minimumServerErrorStatus;
	return {
		isFailure: isUnreachable || isServerError,
		isInconclusive:
			result.outcome === 'cancelled' || result.outcome === 'refused',
		serviceTime: computeServiceTime(placement, result, now),
		isUnreachable,
	};
}

function computeServiceTime(
	placement: Placement,
	result: AttemptResult,
	now: Milliseconds,
): Milliseconds | undefined {
	if (result.outcome === 'unknown') {
		// Counts the time without a response; otherwise a hanging server would
		// have no latency samples.
		return now - placement.startedAt;
	}

	return result.outcome !== 'answered' || result.latency === undefined
		? undefined
		: Math.max(0, result.latency - placement.roundTrip);
}

/** Updates the statistics of the server and the region after an attempt. */
export function applyResult(
	placement: Placement,
	result: AttemptResult,
	assessment: Assessment,
	now: Milliseconds,
): void {
	const {serverState, regionServers} = placement;
	serverState.lastProgressAt = now;
	applyReportedLoad(placement, result, now);
	if (assessment.isInconclusive) {
		return;
	}

	regionServers.failureRate.add(assessment.isFailure ? 1 : 0, now);
	if (assessment.serviceTime !== undefined) {
		serverState.latency.add(assessment.serviceTime, now);
	}

	// Time-outs of a hanging server do not reflect the service time of others.
	if (assessment.serviceTime !== undefined && result.outcome === 'answered') {
		regionServers.serviceTime.add(assessment.serviceTime, now);
	}

	serverState.successRate.add(assessment.isFailure ? 0 : 1, now);
	if (assessment.isUnreachable) {
		serverState.health.onFailure(now);
	} else if (serverState.health.onSuccess()) {
		serverState.successRate.clear();
		serverState.slowStart.start(now);
	}
}

function applyReportedLoad(
	placement: Placement,
	result: AttemptResult,
	now: Milliseconds,
): void {
	const {serverState} = placement;
	const {slots} = serverState.server;
	if (result.outcome === 'refused') {
		// A refusal reports that the server is full.
		serverState.reportedLoad.onReport(
			slots + serverState.inFlight,
			serverState.inFlight,
			slots,
			now,
		);
	} else if (result.reportedLoad !== undefined) {
		serverState.reportedLoad.onReport(
			result.reportedLoad,
			serverState.inFlight,
			slots,
			now,
		);
	}
}
