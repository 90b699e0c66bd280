import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './messages/digest.js';
import type {Member, Members} from './members.js';

/** Requests per second below which a demand is not reported. */
const minimumReportedDemand = 0.01;
/** A share is computed anew this often within the time constant of the demand, as it takes the demand at all hosts. */
const sharesPerDemandTimeConstant = 20;
/** Fraction of the burst that is reserved for the hosts' shares, as counts from other hosts arrive late. */
const reservedBurstFraction = 0.4;
/** Below this fraction of the burst, counts are reported without waiting for the next digest. */
const urgentReportFraction = 0.7;
/**
 * Reports arrive at least this often, unless some are lost, from any host of a fleet
 * of up to 20 hosts, and from active hosts; the interval grows with the fleet.
 */
const regularReportInterval: Milliseconds = 1.5 * second;
const hostsAtRegularInterval = 20;
/** Fraction of the limit on unreported admissions at which they are reported without waiting for the next digest. */
const unreportedFractionToReport = 0.6;
/** Bounds of the delay after which a caller beyond its rate should return. */
const minimumRetryAfter: Milliseconds = 50;
const maximumRetryAfter: Milliseconds = 3 * second;
/** Fraction by which the delay is extended at random, so that callers do not return at once. */
const retryJitter = 0.5;

/** A rate that all hosts together may use, and the burst beyond it. */
export type RateLimit = {
	readonly name: string;
	readonly ratePerSecond: number;
	readonly burst: number;
};

/** A host's requests per second for each limit, and the number it has admitted. */
export type RateCounts = Record<string, [demand: number, admitted: number]>;

type RemoteCount = {
	readonly incarnation: string;
	readonly admitted: number;
	readonly reportedAt: Milliseconds;
};

/** Demand at another host, in requests per second. */
export type HostDemand = {readonly name: string; readonly demand: number};

/** Demand for one limit, in requests per second, and how the rate may be shared. */
export type Demand = {
	/** Moving average at this host. */
	readonly own: number;
	/** The same, as the other hosts were last told. */
	readonly reported: number;
	/** The other live hosts. */
	readonly live: readonly Member[];
	/** Those of them that have reported demand. */
	readonly others: readonly HostDemand[];
	/** The fraction of the rate for this host and the other live ones. */
	readonly liveFraction: number;
	/** The fraction for each host if all have the same. */
	readonly evenShare: number;
};

type Share = {
	/** This host's fraction of the rate. */
	readonly own: number;
	/** The fraction of the rate for this host and the other live ones. */
	readonly live: number;
	readonly computedAt: Milliseconds;
};

type Bucket = {
	limit: RateLimit;
	readonly createdAt: Milliseconds;
	/** Tokens of the whole fleet, by the counts received so far. */
	tokens: number;
	/** Tokens accumulated from this host's share of the rate. */
	shareTokens: number;
	refilledAt: Milliseconds;
	share: Share;
	/** Moving average of requests per second at this host. */
	demand: number;
	/** Value of `demand` that other hosts were last sent. */
	reportedDemand: number;
	demandAt: Milliseconds;
	/** Tokens taken at this host, less refunds. */
	admitted: number;
	/** Value of `admitted` that other hosts were last sent. */
	reported: number;
	/** Tokens taken by each other host, as last reported. */
	readonly remoteCounts: Map<string, RemoteCount>;
};

export type FleetRatesOptions = {
	readonly members: Members;
	/** Uniform numbers from 0 to below 1. */
	readonly random: () => number;
};

/**
 * Enforces rates and bursts over all hosts. Every host maintains a token bucket
 * for the fleet from the admissions that all hosts report. While it holds more than
 * the reserved fraction, a host takes tokens freely; below that, it also needs a
 * token of its own share of the rate, which follows its share of the demand. A host
 * that is not heard from may still admit requests, so an even share of the rate and
 * the burst remains reserved for it.
 */
export abstract class FleetRates {
	readonly #options: FleetRatesOptions;
	readonly #buckets = new Map<string, Bucket>();

	constructor(options: FleetRatesOptions) {
		this.#options = options;
	}

	/** Time constant of the moving average of the demand. */
	protected abstract get demandTimeConstant(): Milliseconds;

	/** Reports that may be due, in transit or lost at the same time. */
	protected abstract get maximumReportsInTransit(): number;

	/**
	 * Whether all hosts began to count when the limit began. Then the first report of
	 * a host is complete, and none is missing once all had the time for one.
	 */
	protected abstract get areCountsComplete(): boolean;

	/** Takes a token; if there is none, returns the delay after which one may be available. */
	tryTake(limit: RateLimit, now: Milliseconds): Milliseconds | undefined {
		if (limit.ratePerSecond === 0) {
			return undefined;
		}

		const bucket = this.#refill(limit, now);
		this.#addDemand(bucket);
		if (this.#isAvailable(bucket, now)) {
			bucket.tokens -= 1;
			bucket.shareTokens = Math.max(0, bucket.shareTokens - 1);
			bucket.admitted += 1;
			return undefined;
		}

		return this.#computeRetryAfter(bucket);
	}

	/** Returns the token of a request that no server ran. */
	refund({name, burst}: RateLimit): void {
		const bucket = this.#buckets.get(name);
		if (bucket !== undefined) {
			bucket.tokens = Math.min(burst, bucket.tokens + 1);
			bucket.admitted -= 1;
		}
	}

	/** Applies the admissions that another host reports. */
	onDigest(digest: Digest, now: Milliseconds): void {
		const {name, incarnation} = digest;
		if (!this.#options.members.isNewest(digest)) {
			return;
		}

		const regularInterval = this.#computeRegularInterval();
		const counts = Object.entries(this.getCounts(digest) ?? {});
		for (const [limitName, [, admitted]] of counts) {
			const bucket = this.#buckets.get(limitName);
			if (bucket === undefined) {
				continue;
			}

			const lastCount =
				bucket.remoteCounts.get(name) ?? this.#findInitialCount(bucket, now);
			bucket.remoteCounts.set(name, {incarnation, admitted, reportedAt: now});
			if (lastCount !== undefined) {
				const alreadyCounted =
					lastCount.incarnation === incarnation ? lastCount.admitted : 0;
				bucket.tokens -= computeUnpaid(
					admitted - alreadyCounted,
					now - lastCount.reportedAt,
					{ratePerSecond: bucket.limit.ratePerSecond, regularInterval},
				);
			}
		}
	}

	/** Whether admissions at this host must be reported without waiting for the next digest. */
	hasUrgentReport(): boolean {
		const hosts = this.#options.members.listActive(0).length + 1;
		for (const {limit, tokens, admitted, reported} of this.#buckets.values()) {
			const reportThreshold = Math.max(
				1,
				(limit.burst * reservedBurstFraction) / hosts,
			);
			const isLow = tokens < limit.burst * urgentReportFraction;
			if (isLow && admitted - reported >= reportThreshold) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Whether this host will soon have admitted as many requests as it may before the
	 * other hosts know, so that it would refuse the next ones although the fleet has
	 * tokens.
	 */
	isNearUnreportedLimit(): boolean {
		for (const {limit, admitted, reported} of this.#buckets.values()) {
			const maximum = this.#computeMaximumUnreported(limit.burst);
			if (admitted - reported >= maximum * unreportedFractionToReport) {
				return true;
			}
		}

		return false;
	}

	/** Returns the demand at this host and the tokens taken here, for the other hosts. */
	summarize(now: Milliseconds): RateCounts {
		return this.#summarize(
			now,
			({demand, reported, admitted}) =>
				demand > minimumReportedDemand || reported !== admitted,
		);
	}

	/** Returns the same for the limits whose number has changed since the last report. */
	summarizeChanged(now: Milliseconds): RateCounts {
		return this.#summarize(
			now,
			({reported, admitted}) => reported !== admitted,
		);
	}

	/**
	 * Records that all active hosts were sent the current counts and demand; a partial
	 * report has those limits alone whose number has changed.
	 */
	markReported({isPartial}: {readonly isPartial: boolean}): void {
		for (const bucket of this.#buckets.values()) {
			if (!isPartial || bucket.reported !== bucket.admitted) {
				bucket.reported = bucket.admitted;
				bucket.reportedDemand = roundToTenths(bucket.demand);
			}
		}
	}

	/** Creates the buckets of new limits, so that other hosts' counts can be applied to them. */
	createBuckets(limits: readonly RateLimit[], now: Milliseconds): void {
		for (const limit of limits) {
			if (limit.ratePerSecond > 0 && !this.#buckets.has(limit.name)) {
				this.#buckets.set(limit.name, this.#createBucket(limit, now));
			}
		}
	}

	/** Whether `tryTake` would succeed now. */
	protected hasToken(limit: RateLimit, now: Milliseconds): boolean {
		const known = this.#buckets.get(limit.name);
		const isCurrent =
			known?.refilledAt === now && known.limit.burst === limit.burst;
		return this.#isAvailable(isCurrent ? known : this.#refill(limit, now), now);
	}

	/** Counts a request that was not admitted for lack of a token. */
	protected addUnmetDemand(limit: RateLimit, now: Milliseconds): void {
		this.#addDemand(this.#refill(limit, now));
	}

	/** Removes the buckets of limits that no longer exist. */
	protected removeBuckets(isRemoved: (name: string) => boolean): void {
		for (const name of this.#buckets.keys()) {
			if (isRemoved(name)) {
				this.#buckets.delete(name);
			}
		}
	}

	/** Tokens of a new bucket. */
	protected abstract computeInitialTokens(limit: RateLimit): number;

	/** Computes this host's fraction of the rate; 0: it may take no tokens. */
	protected abstract computeOwnShare(limit: RateLimit, demand: Demand): number;

	/** Tokens that this host's share accumulates at most. */
	protected abstract computeMaximumShareTokens(
		limit: RateLimit,
		ownShare: number,
	): number;

	/** Returns the counts that another host reports. */
	protected abstract getCounts(digest: Digest): RateCounts | undefined;

	#isAvailable(bucket: Bucket, now: Milliseconds): boolean {
		const {limit, tokens, share, shareTokens, admitted, reported} = bucket;
		const {burst} = limit;
		const hasUnreservedTokens =
			share.own > 0 &&
			tokens > burst * reservedBurstFraction &&
			admitted - reported < this.#computeMaximumUnreported(burst) &&
			(!this.areCountsComplete || this.#isSettled(bucket, now));
		return tokens >= 1 && (hasUnreservedTokens || shareTokens >= 1);
	}

	/** Whether every host that counted requests since the bucket was created had the time to report them. */
	#isSettled({createdAt}: Bucket, now: Milliseconds): boolean {
		return now - createdAt >= this.#computeRegularInterval();
	}

	/** What counts as the report before the first one of a host; undefined: its first one tells nothing. */
	#findInitialCount(
		bucket: Bucket,
		now: Milliseconds,
	): RemoteCount | undefined {
		return this.areCountsComplete && this.#isSettled(bucket, now)
			? {incarnation: '', admitted: 0, reportedAt: bucket.createdAt}
			: undefined;
	}

	#computeRegularInterval(): Milliseconds {
		const hosts = this.#options.members.listKnown().length;
		return regularReportInterval * Math.max(1, hosts / hostsAtRegularInterval);
	}

	/** Computes the delay after which both the fleet and this host's share have a token. */
	#computeRetryAfter({
		limit: {ratePerSecond},
		tokens,
		shareTokens,
		share,
	}: Bucket): Milliseconds {
		// Other hosts take their part of the fleet's tokens meanwhile.
		const computeWait = (deficit: number) =>
			(Math.max(0, deficit) / (ratePerSecond * share.own)) * second;
		const wait = computeWait(1 - Math.min(tokens, shareTokens));
		const jitter = 1 + retryJitter * this.#options.random();
		return Math.min(
			maximumRetryAfter,
			Math.max(minimumRetryAfter, wait) * jitter,
		);
	}

	#summarize(
		now: Milliseconds,
		isIncluded: (bucket: Bucket) => boolean,
	): RateCounts {
		const summary: RateCounts = {};
		for (const [name, bucket] of this.#buckets) {
			this.#decayDemand(bucket, now);
			if (isIncluded(bucket)) {
				summary[name] = [roundToTenths(bucket.demand), bucket.admitted];
			}
		}

		return summary;
	}

	/** Tokens that a host may take outside its share before other hosts have received its counts. */
	#computeMaximumUnreported(burst: number): number {
		const {members} = this.#options;
		const hosts = members.listActive(0).length + 1;
		return (
			Math.max(1, (burst * reservedBurstFraction) / hosts) *
			this.maximumReportsInTransit
		);
	}

	#refill(limit: RateLimit, now: Milliseconds): Bucket {
		const {name, ratePerSecond, burst} = limit;
		const bucket = this.#buckets.get(name) ?? this.#createBucket(limit, now);
		this.#decayDemand(bucket, now);
		const shareLifetime = this.demandTimeConstant / sharesPerDemandTimeConstant;
		if (now - bucket.share.computedAt >= shareLifetime) {
			bucket.share = this.#computeShare(bucket, now);
		}

		const {own, live} = bucket.share;
		const refill = (ratePerSecond * (now - bucket.refilledAt)) / second;
		bucket.limit = limit;
		bucket.tokens = Math.min(burst * live, bucket.tokens + refill * live);
		bucket.shareTokens = Math.min(
			this.computeMaximumShareTokens(limit, own),
			bucket.shareTokens + refill * own,
		);
		bucket.refilledAt = now;
		this.#buckets.set(name, bucket);
		return bucket;
	}

	#createBucket(limit: RateLimit, now: Milliseconds): Bucket {
		return {
			limit,
			createdAt: now,
			tokens: this.computeInitialTokens(limit),
			shareTokens: 0,
			refilledAt: now,
			share: {own: 1, live: 1, computedAt: Number.NEGATIVE_INFINITY},
			demand: 0,
			reportedDemand: 0,
			demandAt: now,
			admitted: 0,
			reported: 0,
			remoteCounts: new Map(),
		};
	}

	#computeShare(
		{limit, demand, reportedDemand}: Bucket,
		now: Milliseconds,
	): Share {
		const {members} = this.#options;
		const live = members.listLive(now);
		const shareHolderCount =
			Math.max(live.length, members.listShareHolders(now).length) + 1;
		const evenShare = 1 / shareHolderCount;
		const liveFraction = (live.length + 1) * evenShare;
		const own = this.computeOwnShare(limit, {
			own: demand,
			reported: reportedDemand,
			live,
			others: this.#listDemand(limit.name, live),
			liveFraction,
			evenShare,
		});
		return {own, live: liveFraction, computedAt: now};
	}

	#listDemand(limitName: string, live: readonly Member[]): HostDemand[] {
		const demands: HostDemand[] = [];
		for (const {host, digest} of live) {
			const counts = digest && this.getCounts(digest);
			const demand = counts?.[limitName]?.[0] ?? 0;
			if (demand > 0) {
				demands.push({name: host.name, demand});
			}
		}

		return demands;
	}

	/** Adds one request to the moving average. */
	#addDemand(bucket: Bucket): void {
		bucket.demand += second / this.demandTimeConstant;
	}

	#decayDemand(bucket: Bucket, now: Milliseconds): void {
		const elapsed = now - bucket.demandAt;
		bucket.demand *= Math.exp(-elapsed / this.demandTimeConstant);
		bucket.demandAt = now;
	}
}

/**
 * Computes how many of the admissions since another host's last report still
 * reduce the tokens. An idle host gets no regular reports; after a long interval,
 * most of the admissions were paid by the refill of that interval, which a full
 * bucket here has discarded.
 */
function computeUnpaid(
	admissions: number,
	interval: Milliseconds,
	{
		ratePerSecond,
		regularInterval,
	}: {readonly ratePerSecond: number; readonly regularInterval: Milliseconds},
): number {
	const paidByRefill = (ratePerSecond * interval) / second;
	const recent = admissions * Math.min(1, regularInterval / interval);
	return Math.max(recent, admissions - paidByRefill);
}

function roundToTenths(value: number): number {
	return Math.round(value * 10) / 10;
}
