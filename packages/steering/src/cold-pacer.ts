import {second, type Milliseconds} from '@parsleyvale/shared';
import type {BackendServer} from './model.js';
import type {ServerOwners} from './server-owners.js';

type Pace = {tokens: number; refilledAt: Milliseconds};

/** A cold server gets a burst of so many requests at most. */
const longestBurst = 1;

/**
 * Paces requests to cold servers. One live host, the same in all hosts' view,
 * sends to a cold server; the others leave it alone until it is warm.
 */
export class ColdPacer {
	readonly #owners: ServerOwners;
	readonly #paces = new Map<string, Pace>();

	constructor(owners: ServerOwners) {
		this.#owners = owners;
	}

	/** Whether a request may go to the cold server now. */
	hasRoom(
		server: BackendServer,
		ratePerSecond: number,
		now: Milliseconds,
	): boolean {
		return (
			this.#owners.isOwnerInRegion(server, now) &&
			this.#refill(server.id, ratePerSecond, now).tokens >= 1
		);
	}

	/** Counts a request that is sent to the cold server. */
	take(serverId: string, ratePerSecond: number, now: Milliseconds): void {
		this.#refill(serverId, ratePerSecond, now).tokens -= 1;
	}

	#refill(serverId: string, ratePerSecond: number, now: Milliseconds): Pace {
		const pace = this.#paces.get(serverId) ?? {tokens: 1, refilledAt: now};
		const refill = (ratePerSecond * (now - pace.refilledAt)) / second;
		pace.tokens = Math.min(longestBurst, pace.tokens + refill);
		pace.refilledAt = now;
		this.#paces.set(serverId, pace);
		return pace;
	}
}
