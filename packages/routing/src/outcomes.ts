import type {AttemptEnding} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {Placement} from './placement.js';

const minimumServerErrorStatus = 500;

/** What the end of an attempt indicates about the server. */
export type Assessment = {
	/** Whether the server failed to handle the request. */
	readonly isFailure: boolean;
	/**
	 * Whether the outcome says nothing about success or failure: the attempt was
	 * cancelled, or the server refused it.
	 */
	readonly isNeutral: boolean;
	/** Time taken by the server, excluding the network round trip. */
	readonly serviceTime: Milliseconds | undefined;
	/** Whether the failure concerns the server rather than a single request. */
	readonly isUnreachable: boolean;
};

/** Classifies the end of an attempt. */
export function assessEnding(
	placement: Placement,
	ending: AttemptEnding,
	now: Milliseconds,
): Assessment {
	const isUnreachable =
		ending.outcome === 'not-sent' ||
		ending.outcome === 'unknown' ||
		ending.outcome === 'cut';
	const isServerError =
		ending.outcome === 'answered' &&
		(ending.status ?? 0) >= minimumServerErrorStatus;
	return {
		isFailure: isUnreachable || isServerError,
		isNeutral: ending.outcome === 'cancelled' || ending.outcome === 'refused',
		serviceTime: computeServiceTime(placement, ending, now),
		isUnreachable,
	};
}

function computeServiceTime(
	placement: Placement,
	ending: AttemptEnding,
	now: Milliseconds,
): Milliseconds | undefined {
	if (ending.outcome === 'unknown') {
		// Count the time without a response; otherwise a hanging server would
		// have no latency samples.
		return now - placement.startedAt;
	}

	return ending.outcome !== 'answered' || ending.latency === undefined
		? undefined
		: Math.max(0, ending.latency - placement.roundTrip);
}

/** Updates the statistics of the server and the region after an attempt. */
export function applyEnding(
	placement: Placement,
	ending: AttemptEnding,
	assessment: Assessment,
	now: Milliseconds,
): void {
	const {state, region} = placement;
	state.lastProgressAt = now;
	applyReportedLoad(placement, ending, now);
	if (assessment.isNeutral) {
		return;
	}

	region.failureRate.add(assessment.isFailure ? 1 : 0, now);
	if (assessment.serviceTime !== undefined) {
		state.latency.add(assessment.serviceTime, now);
	}

	// Time-outs of a hanging server do not reflect the service time of others.
	if (assessment.serviceTime !== undefined && ending.outcome === 'answered') {
		region.serviceTime.add(assessment.serviceTime, now);
	}

	state.successRate.add(assessment.isFailure ? 0 : 1, now);
	if (assessment.isUnreachable) {
		state.health.onFailure(now);
	} else if (state.health.onSuccess()) {
		state.successRate.clear();
		state.slowStart.start(now);
	}
}

function applyReportedLoad(
	placement: Placement,
	ending: AttemptEnding,
	now: Milliseconds,
): void {
	const {state} = placement;
	const {slots} = state.server;
	if (ending.outcome === 'refused') {
		// A refusal reports that the server is full.
		state.reportedLoad.onReport(
			slots + state.inFlight,
			state.inFlight,
			slots,
			now,
		);
	} else if (ending.reportedLoad !== undefined) {
		state.reportedLoad.onReport(
			ending.reportedLoad,
			state.inFlight,
			slots,
			now,
		);
	}
}
