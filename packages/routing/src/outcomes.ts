import type {Ending} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {Placement} from './placement.js';

const lowestServerError = 500;

/** What an ending says of the server. */
export type Verdict = {
	/** The server did not do what it was asked to. */
	readonly isFailure: boolean;
	/** Nothing is known of the server: the caller went away. */
	readonly isNeutral: boolean;
	/** Time that the server took, without the way. */
	readonly serviceTime: Milliseconds | undefined;
	/** Whether the failure is the server's own, not that of one request. */
	readonly isUnreachable: boolean;
};

/** Judges one ending of an attempt. */
export function identifyVerdict(
	placement: Placement,
	ending: Ending,
	now: Milliseconds,
): Verdict {
	const isUnreachable =
		ending.outcome === 'not-sent' ||
		ending.outcome === 'unknown' ||
		ending.outcome === 'cut';
	const isServerError =
		ending.outcome === 'answered' && (ending.status ?? 0) >= lowestServerError;
	return {
		isFailure: isUnreachable || isServerError,
		isNeutral: ending.outcome === 'cancelled' || ending.outcome === 'refused',
		serviceTime: toServiceTime(placement, ending, now),
		isUnreachable,
	};
}

function toServiceTime(
	placement: Placement,
	ending: Ending,
	now: Milliseconds,
): Milliseconds | undefined {
	if (ending.outcome === 'unknown') {
		// No answer came for so long: without this, hanging looks like unknown.
		return now - placement.startedAt;
	}

	return ending.outcome !== 'answered' || ending.latency === undefined
		? undefined
		: Math.max(0, ending.latency - placement.roundTrip);
}

/** Tells server, region and reported load how an attempt ended. */
export function applyEnding(
	placement: Placement,
	ending: Ending,
	verdict: Verdict,
	now: Milliseconds,
): void {
	const {state, region} = placement;
	state.lastEndAt = now;
	applyReport(placement, ending, now);
	if (verdict.isNeutral) {
		return;
	}

	region.failureRate.add(verdict.isFailure ? 1 : 0, now);
	if (verdict.serviceTime !== undefined) {
		state.latency.add(verdict.serviceTime, now);
	}

	// A hanging server says nothing of how long the others take.
	if (verdict.serviceTime !== undefined && ending.outcome === 'answered') {
		region.serviceTime.add(verdict.serviceTime, now);
	}

	state.successRate.add(verdict.isFailure ? 0 : 1, now);
	if (verdict.isUnreachable) {
		state.health.onFailure(now);
	} else if (state.health.onAnswer()) {
		state.successRate.clear();
		state.slowStart.start(now);
	}
}

function applyReport(
	placement: Placement,
	ending: Ending,
	now: Milliseconds,
): void {
	const {state} = placement;
	const {slots} = state.server;
	if (ending.outcome === 'refused') {
		// The server said that it is full.
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
