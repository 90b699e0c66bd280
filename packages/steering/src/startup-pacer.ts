import {second, type Milliseconds} from '@parsleyvale/shared';
import type {BackendServer} from './model.js';
import type {ServerOwners} from './server-owners.js';

type TokenBucket = {tokens: number; refilledAt: Milliseconds};

/** Requests that may be sent to a starting server at once. */
const maximumBurst = 1;

/**
 * Limits the rate of requests to servers that are starting up. Until a server has
 * started, only its owner, on which all hosts agree, sends requests to it.
 */
export class StartupPacer {
	readonly #owners: ServerOwners;
	readonly #buckets = new Map<string, TokenBucket>();

	constructor(owners: ServerOwners) {
		this.#owners = owners;
	}

	/** Whether a request may be sent to the starting server now. */
	hasCapacity(
		server: BackendServer,
		ratePerSecond: number,
		now: Milliseconds,
	): boolean {
		return (
			this.#owners.isOwnerInRegion(server, now) &&
			this.#refill(server.id, ratePerSecond, now).tokens >= 1
		);
	}

	/** Counts a request that is sent to the starting server. */
	take(serverId: string, ratePerSecond: number, now: Milliseconds): void {
		this.#refill(serverId, ratePerSecond, now).tokens -= 1;
	}

	#refill(
		serverId: string,
		ratePerSecond: number,
		now: Milliseconds,
	): TokenBucket {
		const bucket = this.#buckets.get(serverId) ?? {tokens: 1, refilledAt: now};
		const refill = (ratePerSecond * (now - bucket.refilledAt)) / second;
		bucket.tokens = Math.min(maximumBurst, bucket.tokens + refill);
		bucket.refilledAt = now;
		this.#buckets.set(serverId, bucket);
		return bucket;
	}
}
