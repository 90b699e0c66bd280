import {
	ErrorKind,
	getErrorResponse,
	type Milliseconds,
} from '@parsleyvale/shared';
import type {LiveRequest} from '../admission/live-request.js';
import type {ProcessingTimes} from '../placement/processing-times.js';

/** An idempotent request is moved to another server after this multiple of its expected time. */
const overdueFactor = 2.5;
/** A request is never overdue before this multiple of the usual processing time of an uncached object. */
const uncachedOverdueFactor = 1.6;
/** Bounds of the retry delay given to callers that were refused for lack of capacity. */
const minimumRetryAfter: Milliseconds = 250;
const maximumRetryAfter: Milliseconds = 900;
/**
 * Bounds of the retry delay given by a host that has just started: it is configured
 * after about 100 ms, and the others may have started with it.
 */
const minimumStartRetryAfter: Milliseconds = 150;
const maximumStartRetryAfter: Milliseconds = 500;
/** Retry delay where another host may serve the caller immediately. */
const otherHostRetryAfter: Milliseconds = 50;

/** Limits on queue time and time to an answer, and the retry delay given to refused callers. */
export class WaitLimits {
	readonly #processingTimes: ProcessingTimes;
	readonly #random: () => number;

	constructor(processingTimes: ProcessingTimes, random: () => number) {
		this.#processingTimes = processingTimes;
		this.#random = random;
	}

	/**
	 * Whether an idempotent request should be moved because its server takes too long:
	 * after `tailTime`, or a multiple of the usual time if none has been learned.
	 */
	isOverdue(
		{route, placement, possibleRuns, deadline, isAnswerStarted}: LiveRequest,
		tailTime: Milliseconds | undefined,
		now: Milliseconds,
	): boolean {
		if (placement === undefined || !route.isIdempotent || isAnswerStarted) {
			return false;
		}

		const {warm, cold} = this.#processingTimes.get(route);
		const limit = Math.min(
			tailTime ?? Number.POSITIVE_INFINITY,
			Math.max(
				placement.expectedTime * overdueFactor,
				cold * uncachedOverdueFactor,
			),
		);
		const elapsed = now - placement.inFlightRequest.sentAt;
		// The other server needs enough time before the deadline.
		const isTimeLeft = deadline - now > warm * overdueFactor;
		return (
			isTimeLeft && possibleRuns + 1 < route.maximumAttempts && elapsed > limit
		);
	}

	/** Computes the longest queue time after which an answer can still meet the latency objective. */
	computeMaximumQueueTime({route}: LiveRequest): Milliseconds {
		const {warm} = this.#processingTimes.get(route);
		return Math.max(
			route.latencyObjectiveMs / 8,
			route.latencyObjectiveMs - warm,
		);
	}

	/** Whether a waiting request can no longer be answered within its latency objective. */
	cannotMeetObjective(request: LiveRequest, now: Milliseconds): boolean {
		const {waitingSince, cachedAt} = request;
		const waitingFrom = Math.max(waitingSince ?? now, cachedAt ?? 0);
		return now - waitingFrom > this.computeMaximumQueueTime(request);
	}

	/** Returns the delay after which a refused caller should retry, with jitter so that callers do not return at once. */
	computeRetryAfter(kind: ErrorKind): Milliseconds | undefined {
		const {retry} = getErrorResponse(kind);
		if (kind === ErrorKind.NotConfigured) {
			return this.#chooseDelay(minimumStartRetryAfter, maximumStartRetryAfter);
		}

		if (retry === 'other-host') {
			return otherHostRetryAfter;
		}

		return retry === 'after-delay'
			? this.#chooseDelay(minimumRetryAfter, maximumRetryAfter)
			: undefined;
	}

	#chooseDelay(minimum: Milliseconds, maximum: Milliseconds): Milliseconds {
		return minimum + this.#random() * (maximum - minimum);
	}
}
