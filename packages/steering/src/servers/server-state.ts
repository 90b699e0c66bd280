import {second, type Milliseconds} from '@parsleyvale/shared';
import type {ReportedLoad, ReportedRateLimit} from '../event.js';
import type {LoadControl} from '../load-control.js';
import type {BackendServer} from '../model.js';
import type {CachedObjectIndex} from './cached-object-index.js';
import type {LoadEstimate, RemoteCount} from './load-estimate.js';
import type {CacheSizeEstimator} from './object-memory.js';
import {ShedBackoff} from './shed-backoff.js';
import {WorkTime} from './work-time.js';

/** How long a reported load stays relevant: about the processing time of one answer. */
const reportedLoadLifetime: Milliseconds = 400;
/** Consecutive failures after which a server is ejected. */
const ejectionThreshold = 2;
/** What an attempt in the tail counts as a failure: some requests take long at a healthy server. */
const overdueFailures = 0.5;
/** Duration of the first ejection; doubles with each further one, up to the maximum. */
const baseEjectionTime: Milliseconds = second;
const maximumEjectionTime: Milliseconds = 8 * second;
/** Weight of the newest answer in the moving average of a server's slowness: about ten answers count. */
const slownessGain = 0.15;
const minimumSlowness = 0.3;
const maximumSlowness = 30;
/** Most recent objects tracked for each server: more than servers cache. */
const trackedObjects = 64;

/** A request of this host that is in flight at a server. */
export type InFlightRequest = {
	readonly sentAt: Milliseconds;
	/** Expected time until the answer. */
	readonly expectedTime: Milliseconds;
	readonly objectHash: number;
};

/** State of one backend server, from this host's attempts and from other hosts. */
export class ServerState {
	startingUntil: Milliseconds;
	readonly inFlight = new Set<InFlightRequest>();
	/** Whether this host or, according to digests, another one has sent it requests. */
	hasBeenUsed = false;
	isEvacuated = false;
	/** When the server, missing in the list, is removed; undefined: it is listed. */
	removeMissingAt: Milliseconds | undefined;
	/** Requests of other hosts in flight there, by their last digests. */
	remoteInFlight = 0;
	/** Expected end of other hosts' requests in flight for objects that are not cached there, by object. */
	readonly #remoteUncachedRuns = new Map<number, Milliseconds>();
	/** Response time relative to the expected one: above 1 the server is slower than usual. */
	#slowness = 1;
	#hasLeft = false;
	#failures = 0;
	#ejections = 0;
	#ejectedUntil: Milliseconds = 0;
	#rateLimit: number | undefined;
	#rateLimitReportedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#rateLimitReceivedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#reportedRemoteLoad = 0;
	#reportedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** Requests whose answer has begun; the rest of their time depends on how fast the caller reads. */
	readonly #answering = new WeakSet<InFlightRequest>();
	/** Hashes of recently handled objects, least recently used first. */
	readonly #objects = new Set<number>();

	readonly #workTime = new WorkTime();
	readonly #shedBackoff = new ShedBackoff();
	readonly #cachedObjects: CachedObjectIndex;
	readonly #cacheEstimator: CacheSizeEstimator;
	#loadControl: LoadControl | undefined;
	#loadEstimate: LoadEstimate | undefined;

	constructor(
		public server: BackendServer,
		now: Milliseconds,
		cachedObjects: CachedObjectIndex,
		cacheEstimator: CacheSizeEstimator,
	) {
		this.#cachedObjects = cachedObjects;
		this.#cacheEstimator = cacheEstimator;
		this.startingUntil = now + server.coldRemainingMs;
	}

	/** Estimates the load by the age of what other hosts and the server report, where load control is enabled. */
	useLoadEstimate(loadEstimate: LoadEstimate, loadControl: LoadControl): void {
		this.#loadEstimate = loadEstimate;
		this.#loadControl = loadControl;
	}

	/** Whether the server may be chosen. */
	isUsable(now: Milliseconds): boolean {
		return (
			!this.#hasLeft &&
			!this.server.isDraining &&
			!this.isEvacuated &&
			!this.isEjected(now)
		);
	}

	/** After the ejection time, the server gets one request at a time until it answers. */
	isEjected(now: Milliseconds): boolean {
		return (
			this.isFailing && (this.isInEjectionTime(now) || this.inFlight.size > 0)
		);
	}

	/** Whether so many attempts have failed since the last answer that the server may be ejected. */
	get isFailing(): boolean {
		return this.#failures >= ejectionThreshold;
	}

	isInEjectionTime(now: Milliseconds): boolean {
		return now < this.#ejectedUntil;
	}

	/** Whether an attempt has failed since its last answer. */
	get isSuspect(): boolean {
		return this.#failures >= 1;
	}

	/** Whether the server is starting up, so that it takes requests only at the startup rate. */
	isStarting(now: Milliseconds): boolean {
		return now < this.startingUntil;
	}

	/** Estimates the requests of all hosts that are running or waiting there; those of this host are exact. */
	computeLoad(now: Milliseconds): number {
		if (this.#loadControl?.isEnabled) {
			return this.inFlight.size + this.#loadEstimate!.compute(now);
		}

		const freshness = Math.max(
			0,
			1 - (now - this.#reportedAt) / reportedLoadLifetime,
		);
		return (
			this.inFlight.size +
			Math.max(this.remoteInFlight, this.#reportedRemoteLoad * freshness)
		);
	}

	/** Returns the factor on the time work takes there by the server's statements; 1: none recently. */
	computeWorkTimeFactor(now: Milliseconds): number {
		return this.#workTime.compute(now);
	}

	/** Returns the factor on the server's cost that shed requests cause; 1: none were shed recently. */
	computeShedFactor(now: Milliseconds): number {
		return this.#shedBackoff.computeCostFactor(now);
	}

	/** Computes the standard deviation of the load's error, which grows with the age of the counts. */
	computeLoadDeviation(now: Milliseconds): number {
		return this.#loadEstimate?.computeDeviation(now) ?? 0;
	}

	/** Includes requests in flight that are already overdue. */
	computeSlowness(now: Milliseconds): number {
		let slowness = this.#slowness * this.#workTime.compute(now);
		for (const request of this.inFlight) {
			if (!this.#answering.has(request)) {
				const {sentAt, expectedTime} = request;
				slowness = Math.max(slowness, (now - sentAt) / expectedTime);
			}
		}

		return Math.min(maximumSlowness, slowness);
	}

	/** Whether the object should still be cached, judged by the objects handled after it. */
	hasCached(object: number): boolean {
		const reuseDistance = this.findReuseDistance(object);
		return (
			reuseDistance !== undefined && reuseDistance < this.#cacheEstimator.size
		);
	}

	/** Number of objects handled after this one; undefined: not handled recently. */
	findReuseDistance(object: number): number | undefined {
		if (!this.#objects.has(object)) {
			return undefined;
		}

		let older = 0;
		for (const other of this.#objects) {
			if (other === object) {
				break;
			}

			older += 1;
		}

		return this.#objects.size - 1 - older;
	}

	/**
	 * Time until a request in flight should have the object cached; undefined if
	 * none is in flight for it.
	 */
	findTimeUntilCached(
		object: number,
		now: Milliseconds,
	): Milliseconds | undefined {
		let end = this.#remoteUncachedRuns.get(object);
		if (end !== undefined && end < now) {
			this.#remoteUncachedRuns.delete(object);
			end = undefined;
		}

		for (const {objectHash, sentAt, expectedTime} of this.inFlight) {
			if (objectHash === object) {
				end = Math.min(end ?? Number.POSITIVE_INFINITY, sentAt + expectedTime);
			}
		}

		return end === undefined ? undefined : Math.max(0, end - now);
	}

	/** Another host has a request in flight there for an object that is not cached. */
	onRemoteUncachedRun(object: number, end: Milliseconds): void {
		this.#remoteUncachedRuns.set(object, end);
	}

	/** Another host's newer report of its requests there replaces its previous one. */
	onRemoteCount(
		previous: RemoteCount,
		next: RemoteCount,
		now: Milliseconds,
	): void {
		const others = Math.max(0, this.remoteInFlight - previous.count);
		this.remoteInFlight = others + next.count;
		this.hasBeenUsed = true;
		this.#loadEstimate?.onRemoteCount(previous, next, now);
	}

	/** The first bytes of the answer have arrived and are sent to the caller. */
	onAnswerStarted(request: InFlightRequest): void {
		this.#answering.add(request);
	}

	onSent(request: InFlightRequest): void {
		this.inFlight.add(request);
		this.hasBeenUsed = true;
	}

	/** `usualTime` is the time that such an answer usually takes. */
	onAnswered(
		request: InFlightRequest,
		object: number,
		usualTime: Milliseconds,
		now: Milliseconds,
	): void {
		this.inFlight.delete(request);
		this.#loadEstimate?.onEnded(now - request.sentAt);
		this.#failures = 0;
		this.#ejections = 0;
		this.#shedBackoff.onAnswered(now);
		const ratio = this.#removeStatedSlowness(
			(now - request.sentAt) / usualTime,
			now,
		);
		this.#addSlowness(ratio);
		this.onHandled(object);
	}

	/** The attempt failed, was rejected or was overdue; returns whether the server is now ejected. */
	onFailed(request: InFlightRequest, now: Milliseconds): boolean {
		this.recordFailure(request);
		if (this.isFailing) {
			this.startEjection(now);
		}

		return this.isFailing;
	}

	/** Counts a failed attempt without ejecting the server. */
	recordFailure(request: InFlightRequest): void {
		this.inFlight.delete(request);
		this.#failures += 1;
	}

	/** Counts an attempt that was cancelled as it took too long. */
	recordOverdue(request: InFlightRequest, now: Milliseconds): void {
		this.inFlight.delete(request);
		this.#failures += overdueFailures;
		this.#addSlowness((now - request.sentAt) / request.expectedTime);
	}

	startEjection(now: Milliseconds): void {
		const ejectionTime = baseEjectionTime * 2 ** this.#ejections;
		this.#ejections += 1;
		this.#ejectedUntil = now + Math.min(maximumEjectionTime, ejectionTime);
	}

	/** Ends the ejection time; the server gets one request at a time until it answers. */
	cancelEjection(now: Milliseconds): void {
		this.#ejectedUntil = Math.min(this.#ejectedUntil, now);
	}

	/** The server was full and did not run the request, which says nothing about its health. */
	onShed(
		request: InFlightRequest,
		load: ReportedLoad | undefined,
		now: Milliseconds,
	): void {
		this.inFlight.delete(request);
		this.#shedBackoff.onShed(now);
		const {slots} = this.server;
		const running = Math.max(load?.running ?? 0, slots);
		const waiting = Math.max(load?.waiting ?? 0, 0);
		this.onLoadReported(
			{running, waiting, slots, workTimePercent: undefined},
			now,
		);
		this.#loadEstimate?.onShed();
	}

	/** The attempt was cancelled; its end says nothing about the server's health. */
	onCancelled(request: InFlightRequest): void {
		this.inFlight.delete(request);
	}

	/** The server stated how long work takes there, as a percentage of the usual time. */
	onWorkTimeStated(percent: number, now: Milliseconds): void {
		this.#workTime.onStated(percent, now);
	}

	onLoadReported(load: ReportedLoad, now: Milliseconds): void {
		const remoteLoad = load.running + load.waiting - this.inFlight.size;
		this.#reportedRemoteLoad = Math.max(0, remoteLoad);
		this.#reportedAt = now;
		this.#loadEstimate?.onStated(
			load.running + load.waiting,
			this.inFlight.size,
			load.slots ?? this.server.slots,
			now,
		);
	}

	/** The server was started again: what it stated before no longer holds. */
	onRestarted(now: Milliseconds): void {
		this.#rateLimitReportedAt = now;
	}

	/** Requests per second that the server takes from all hosts together; undefined: no limit. */
	get rateLimit(): number | undefined {
		return this.#rateLimit;
	}

	/** When the server was last known to state its limit, or that it has none any more. */
	get rateLimitReportedAt(): Milliseconds {
		return this.#rateLimitReportedAt;
	}

	/** When a response to this host last stated the limit, or first omitted it. */
	get rateLimitReceivedAt(): Milliseconds {
		return this.#rateLimitReceivedAt;
	}

	/**
	 * Applies what the response to a request of this host states; returns whether the
	 * limit changed.
	 */
	onRateLimitReported(
		{requestsPerSecond}: ReportedRateLimit,
		{sentAt}: InFlightRequest,
		now: Milliseconds,
	): boolean {
		// A request may have been sent before the server was in need, and be answered later.
		const isOutdated =
			requestsPerSecond === undefined && sentAt <= this.#rateLimitReportedAt;
		if (isOutdated) {
			return false;
		}

		const isChanged = this.applyRateLimit(requestsPerSecond, now);
		if (isChanged || requestsPerSecond !== undefined) {
			this.#rateLimitReceivedAt = now;
		}

		return isChanged;
	}

	/** Applies a limit, or its end, as of the given time unless a newer one is known; returns whether it changed. */
	applyRateLimit(
		requestsPerSecond: number | undefined,
		reportedAt: Milliseconds,
	): boolean {
		const isChanged = requestsPerSecond !== this.#rateLimit;
		if (reportedAt <= this.#rateLimitReportedAt) {
			return false;
		}

		if (isChanged || requestsPerSecond !== undefined) {
			this.#rateLimitReportedAt = reportedAt;
		}

		this.#rateLimit = requestsPerSecond;
		return isChanged;
	}

	/** The server has handled a request for the object, from this or another host. */
	onHandled(object: number): void {
		if (this.#hasLeft) {
			return;
		}

		this.#objects.delete(object);
		this.#objects.add(object);
		this.#cachedObjects.add(object, this);
		if (this.#objects.size > trackedObjects) {
			const [oldest] = this.#objects;
			this.#objects.delete(oldest!);
			this.#cachedObjects.remove(oldest!, this);
		}
	}

	/** The server has left; requests in flight may still be answered. */
	onLeft(): void {
		this.#hasLeft = true;
		for (const object of this.#objects) {
			this.#cachedObjects.remove(object, this);
		}

		this.#objects.clear();
	}

	/** Part of a response time, relative to the usual one, that the server's statements do not explain. */
	#removeStatedSlowness(ratio: number, now: Milliseconds): number {
		this.#workTime.onAnswered(ratio);
		return ratio <= 1
			? ratio
			: Math.max(1, ratio / this.#workTime.compute(now));
	}

	#addSlowness(ratio: number): void {
		const boundedRatio = Math.min(
			maximumSlowness,
			Math.max(minimumSlowness, ratio),
		);
		this.#slowness += slownessGain * (boundedRatio - this.#slowness);
	}
}
