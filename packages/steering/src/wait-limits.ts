import {
	getErrorAnswer,
	type ErrorKind,
	type Milliseconds,
} from '@parsleyvale/shared';
import type {LiveRequest} from './live-request.js';
import type {WorkTimes} from './work-times.js';

/** A repeatable request is taken from a server that needs so many times what was expected. */
const overdueFactor = 2.5;
/** Work on an unknown object is not overdue before so many times its usual time. */
const overdueColdFactor = 1.6;
/** Callers that were refused for want of room come back within these times. */
const shortestReturn: Milliseconds = 250;
const longestReturn: Milliseconds = 900;
/** Another host may serve the caller at once. */
const otherHostReturn: Milliseconds = 50;

/** How long requests wait for room or for an answer, and callers before they return. */
export class WaitLimits {
	readonly #times: WorkTimes;
	readonly #random: () => number;

	constructor(times: WorkTimes, random: () => number) {
		this.#times = times;
		this.#random = random;
	}

	/** Whether a repeatable request should leave a server that takes too long. */
	isOverdue(
		{route, place, runs, deadline}: LiveRequest,
		now: Milliseconds,
	): boolean {
		if (place === undefined || !route.isIdempotent) {
			return false;
		}

		const {warm, cold} = this.#times.get(route);
		const limit = Math.max(
			place.expected * overdueFactor,
			cold * overdueColdFactor,
		);
		const age = now - place.running.sentAt;
		// The other server needs time, too.
		const canEnd = deadline - now > warm * overdueFactor;
		return canEnd && runs + 1 < route.maximumAttempts && age > limit;
	}

	/** Longest wait after which an answer still meets the objective. */
	computeQueueWait({route}: LiveRequest): Milliseconds {
		const {warm} = this.#times.get(route);
		return Math.max(
			route.latencyObjectiveMs / 8,
			route.latencyObjectiveMs - warm,
		);
	}

	/** Whether a waiting request could no longer be answered in its objective. */
	isUseless(request: LiveRequest, now: Milliseconds): boolean {
		const {waitingSince, knownAt} = request;
		const begun = Math.max(waitingSince ?? now, knownAt ?? 0);
		return now - begun > this.computeQueueWait(request);
	}

	/** When a refused caller should come back; spread, so that not all do at once. */
	toRetryAfter(kind: ErrorKind): Milliseconds | undefined {
		const {retry} = getErrorAnswer(kind);
		if (retry === 'other-host') {
			return otherHostReturn;
		}

		const spread = this.#random();
		return retry === 'after-delay'
			? shortestReturn + spread * (longestReturn - shortestReturn)
			: undefined;
	}
}
