import {second, type Milliseconds} from '@parsleyvale/shared';
import {computeHash} from './hash.js';
import type {Members} from './members.js';

type Pace = {tokens: number; refilledAt: Milliseconds};

/** A cold server gets a burst of so many requests at most. */
const longestBurst = 1;

/**
 * Paces requests to cold servers. One live host, the same in all hosts' view,
 * sends to a cold server; the others leave it alone until it is warm.
 */
export class ColdPacer {
	readonly #self: string;
	readonly #members: Members;
	readonly #paces = new Map<string, Pace>();

	constructor(self: string, members: Members) {
		this.#self = self;
		this.#members = members;
	}

	/** Whether a request may go to the cold server now. */
	hasRoom(serverId: string, ratePerSecond: number, now: Milliseconds): boolean {
		return (
			this.#isOwner(serverId, now) &&
			this.#refill(serverId, ratePerSecond, now).tokens >= 1
		);
	}

	/** Counts a request that is sent to the cold server. */
	take(serverId: string, ratePerSecond: number, now: Milliseconds): void {
		this.#refill(serverId, ratePerSecond, now).tokens -= 1;
	}

	#isOwner(serverId: string, now: Milliseconds): boolean {
		const own = computeHash(`${serverId}/${this.#self}`);
		return this.#members
			.listLive(now)
			.filter(({digest}) => digest?.isReady === true)
			.every(({host}) => computeHash(`${serverId}/${host.name}`) < own);
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
