import type {Milliseconds} from '@parsleyvale/shared';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {RegionUtilization} from './region-utilization.js';
import type {ServerState} from './server-state.js';
import type {ServicePool} from './service-pool.js';

/** Time constant in which outcomes are forgotten: a few answers at a server. */
const outcomeTimeConstant: Milliseconds = 1000;
/** Outcomes, after forgetting, from which a share is meaningful. */
const minimumOutcomes = 4;
/** Share of shed requests from which a pool without free slots counts as shedding widely. */
const wideShedShare = 0.3;
/** Requests per slot from which a pool has no free slots to speak of. */
const fullUtilization = 0.9;
/** Weight of the newest sample in the moving average of this host's part: about a second counts. */
const ownPartGain = 0.05;
/** How long a sample of the pool is reused: one tick. */
const sampleLifetime: Milliseconds = 50;

/** Sums over the usable servers of a pool. */
type PoolSample = {
	readonly at: Milliseconds;
	readonly slots: number;
	readonly load: number;
	/** Requests of this host in flight. */
	readonly ownInFlight: number;
};

/** What this host's attempts tell of one pool as a whole. */
export class PoolControl {
	readonly limit = new ConcurrencyLimit();
	readonly regions = new RegionUtilization();
	#sample: PoolSample = {
		at: Number.NEGATIVE_INFINITY,
		slots: 0,
		load: 0,
		ownInFlight: 0,
	};

	/** This host's part of the requests in flight there. */
	#ownPart = 1;

	/** Attempts begun, less those ended, since the sample. */
	#inFlightChange = 0;
	#outcomes = 0;
	#sheds = 0;
	#forgottenAt: Milliseconds = 0;

	/** Whether this host may send the pool one more request. */
	hasRoom(pool: ServicePool | undefined, now: Milliseconds): boolean {
		const {current} = this.limit;
		return current === undefined || this.#countInFlight(pool, now) < current;
	}

	/** Whether so much is shed for lack of free slots that retries would only add to it. */
	isSheddingWidely(pool: ServicePool | undefined, now: Milliseconds): boolean {
		this.#forget(now);
		if (
			this.#outcomes < minimumOutcomes ||
			this.#sheds < this.#outcomes * wideShedShare
		) {
			return false;
		}

		const {load, slots} = this.#getSample(pool, now);
		return load >= slots * fullUtilization;
	}

	onSent(): void {
		this.#inFlightChange += 1;
	}

	onEnded(
		isShed: boolean,
		pool: ServicePool | undefined,
		now: Milliseconds,
	): void {
		this.#forget(now);
		this.#outcomes += 1;
		this.#sheds += isShed ? 1 : 0;
		const inFlight = this.#countInFlight(pool, now);
		this.#inFlightChange -= 1;
		if (isShed) {
			this.limit.onShed(inFlight, this.#computeOwnSlots(pool, now), now);
		} else {
			this.limit.onAnswered(inFlight, now);
		}
	}

	/** This host's part of the slots. */
	#computeOwnSlots(pool: ServicePool | undefined, now: Milliseconds): number {
		return this.#getSample(pool, now).slots * this.#ownPart;
	}

	#countInFlight(pool: ServicePool | undefined, now: Milliseconds): number {
		return this.#getSample(pool, now).ownInFlight + this.#inFlightChange;
	}

	#getSample(pool: ServicePool | undefined, now: Milliseconds): PoolSample {
		if (now - this.#sample.at >= sampleLifetime) {
			this.#sample = createSample(pool?.servers ?? [], now);
			this.#inFlightChange = 0;
			const {ownInFlight, load} = this.#sample;
			if (ownInFlight > 0) {
				const part = ownInFlight / Math.max(ownInFlight, load);
				this.#ownPart += ownPartGain * (part - this.#ownPart);
			}
		}

		return this.#sample;
	}

	#forget(now: Milliseconds): void {
		const kept = Math.exp(-(now - this.#forgottenAt) / outcomeTimeConstant);
		this.#outcomes *= kept;
		this.#sheds *= kept;
		this.#forgottenAt = now;
	}
}

function createSample(
	servers: readonly ServerState[],
	now: Milliseconds,
): PoolSample {
	let slots = 0;
	let load = 0;
	let ownInFlight = 0;
	for (const state of servers) {
		ownInFlight += state.inFlight.size;
		if (state.isUsable(now)) {
			slots += state.server.slots;
			load += state.computeLoad(now);
		}
	}

	return {at: now, slots, load, ownInFlight};
}
