import {second, type Milliseconds} from '@parsleyvale/shared';
import type {LiveRequest} from '../admission/live-request.js';
import type {ProcessingTimes} from '../placement/processing-times.js';
import type {RequestQueue} from './request-queue.js';

/** Callers honour a delay up to this fraction of the time that they have left. */
const honouredFraction = 1 / 3;
/** A caller that returns sooner finds the same slots occupied. */
const minimumDelay: Milliseconds = 50;
/** Fraction by which a delay varies at random, so that callers refused by several hosts do not return at once. */
const jitter = 0.5;
/** Reserved returns never reach further ahead than this. */
const maximumBacklog: Milliseconds = 5 * second;

/**
 * Computes when refused callers should return: one by one, at the rate at which this
 * host's requests are served, after those that already wait, and early enough to be
 * served before their deadline.
 */
export class RetryDelays {
	readonly #processingTimes: ProcessingTimes;
	readonly #queue: RequestQueue;
	readonly #random: () => number;
	/** When the caller refused last should return, by service and priority. */
	readonly #lastReturns = new Map<string, Milliseconds>();

	constructor(
		processingTimes: ProcessingTimes,
		queue: RequestQueue,
		random: () => number,
	) {
		this.#processingTimes = processingTimes;
		this.#queue = queue;
		this.#random = random;
	}

	/** Computes the delay for a request that is refused now. */
	compute(request: LiveRequest, now: Milliseconds): Milliseconds {
		const maximum = this.#computeMaximum(request, now);
		const delay = this.#reserveReturn(request, now);
		return delay > maximum
			? maximum * (1 - jitter * this.#random())
			: Math.min(maximum, delay * (1 + jitter * this.#random()));
	}

	/** Computes the longest delay that the caller honours and after which the request can still be served. */
	#computeMaximum(
		{route, arrival}: LiveRequest,
		now: Milliseconds,
	): Milliseconds {
		// The route's timeout bounds this attempt alone; the caller may wait for longer.
		const deadline = arrival.arrivedAt + (arrival.timeLeft ?? route.timeoutMs);
		const timeLeft = Math.max(0, deadline - now);
		const honoured = timeLeft * honouredFraction;
		const {warm} = this.#processingTimes.get(route);
		const inTime = timeLeft - warm;
		// A caller that cannot be served in time should not return early.
		return inTime < Math.min(minimumDelay, honoured)
			? honoured
			: Math.min(honoured, inTime);
	}

	/** Returns the delay until the turn of this caller, after those that wait and those refused before it. */
	#reserveReturn(request: LiveRequest, now: Milliseconds): Milliseconds {
		const {service, priority} = request;
		const key = `${service}/${priority}`;
		const interval = this.#queue.computeTimeUntilDispatch(service, 0, now);
		const earliest =
			now + Math.max(minimumDelay, this.#queue.computeQueueTime(request, now));
		const last = this.#lastReturns.get(key) ?? 0;
		// The reservations of callers that cannot wait so long do not add up.
		const returnAt = Math.min(
			Math.max(earliest, last + interval),
			earliest + maximumBacklog,
		);
		this.#lastReturns.set(key, returnAt);
		return returnAt - now;
	}
}
