import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './messages/digest.js';
import {
	FleetRates,
	type Demand,
	type FleetRatesOptions,
	type RateCounts,
	type RateLimit,
} from './fleet-rates.js';
import {selectHolders, type HolderCandidate} from './limit-holders.js';
import type {Member} from './members.js';
import type {ServerState} from './servers/server-state.js';
import type {ServerTable} from './servers/server-table.js';

/**
 * Lower bound of a limit, in requests per second: only the response to a request
 * tells when a limit ends.
 */
const minimumRate = 0.25;
/** Time constant of the demand average: a limit allows a host few requests a second. */
const demandTimeConstant: Milliseconds = 4 * second;
/** A server may get the requests of this time, and the minimum burst, in a row after it got fewer. */
const burstDuration: Milliseconds = second;
const minimumBurst = 2;

export type ServerRatesOptions = FleetRatesOptions & {
	/** Name of this host. */
	readonly self: string;
	readonly serverTable: ServerTable;
};

/** Enforces the limits that servers state on the rate of requests from all hosts together. */
export class ServerRates extends FleetRates {
	readonly #self: string;
	readonly #serverTable: ServerTable;

	constructor(options: ServerRatesOptions) {
		super(options);
		this.#self = options.self;
		this.#serverTable = options.serverTable;
	}

	protected override get demandTimeConstant(): Milliseconds {
		return demandTimeConstant;
	}

	/** A server's limit allows few requests, so that a host reports each one before it takes the next. */
	protected override get maximumReportsInTransit(): number {
		return 1;
	}

	protected override get areCountsComplete(): boolean {
		return true;
	}

	/** Whether the server's limit allows a request now. */
	hasCapacity(state: ServerState, now: Milliseconds): boolean {
		const limit = findLimit(state);
		return limit === undefined || this.hasToken(limit, now);
	}

	/** Counts a request that is sent to the server. */
	take(state: ServerState, now: Milliseconds): void {
		const limit = findLimit(state);
		if (limit !== undefined) {
			this.tryTake(limit, now);
		}
	}

	/** Counts a request that the server would have got without its limit. */
	onHeldBack(state: ServerState, now: Milliseconds): void {
		const limit = findLimit(state);
		if (limit !== undefined) {
			this.addUnmetDemand(limit, now);
		}
	}

	override onDigest(digest: Digest, now: Milliseconds): void {
		const limits = Object.keys(digest.servers ?? {}).flatMap((id) => {
			const state = this.#serverTable.states.get(id);
			return (state && findLimit(state)) ?? [];
		});
		this.createBuckets(limits, now);
		super.onDigest(digest, now);
	}

	/** Forgets the servers that have left. */
	removeLeft(): void {
		this.removeBuckets((id) => !this.#serverTable.states.has(id));
	}

	/** Returns the limits that responses to this host stated, or first omitted, since the given time. */
	listLimits(
		since: Milliseconds,
		now: Milliseconds,
	): NonNullable<Digest['rateLimits']> {
		const limits: NonNullable<Digest['rateLimits']> = {};
		for (const [id, state] of this.#serverTable.states) {
			if (state.rateLimitReceivedAt >= since) {
				const age = Math.round(now - state.rateLimitReportedAt);
				limits[id] = [state.rateLimit ?? null, age];
			}
		}

		return limits;
	}

	/**
	 * Splits the limit by demand among its holders. This host's demand counts as
	 * reported, so that all hosts compute with the same numbers.
	 */
	protected override computeOwnShare(
		limit: RateLimit,
		{reported, live, others, liveFraction}: Demand,
	): number {
		const self = {name: this.#self, demand: reported, isActive: true};
		const hasDemand = reported > 0 || others.length > 0;
		const candidates = hasDemand
			? others.map(({name, demand}) => ({name, demand, isActive: true}))
			: live.map((member) => toIdleCandidate(member));
		const holders = selectHolders(limit, [self, ...candidates]);
		if (!holders.includes(self)) {
			return 0;
		}

		let sum = 0;
		for (const {demand} of holders) {
			sum += demand;
		}

		return (sum > 0 ? reported / sum : 1 / holders.length) * liveFraction;
	}

	protected override computeMaximumShareTokens(
		{burst}: RateLimit,
		ownShare: number,
	): number {
		return ownShare > 0 ? Math.max(1, ownShare * burst) : 0;
	}

	protected override getCounts({servers}: Digest): RateCounts | undefined {
		return servers;
	}

	/** What the server got before its limit was known here does not entitle it to more. */
	protected override computeInitialTokens(): number {
		return 0;
	}
}

function toIdleCandidate({host, digest}: Member): HolderCandidate {
	const isActive = (digest?.requestsPerSecond ?? 0) > 0;
	return {name: host.name, demand: 0, isActive};
}

function findLimit({server, rateLimit}: ServerState): RateLimit | undefined {
	if (rateLimit === undefined) {
		return undefined;
	}

	const ratePerSecond = Math.max(minimumRate, rateLimit);
	return {
		name: server.id,
		ratePerSecond,
		burst: minimumBurst + (ratePerSecond * burstDuration) / second,
	};
}
