import {second, type Milliseconds} from '@parsleyvale/shared';
import type {HostState} from '../host-state.js';

/** Time constant of the moving average: a burst counts within a second, and its end within a few. */
const averagingSpan: Milliseconds = 1.5 * second;
/** Bounds the scale of a host with few requests, whose own arrivals say little about the fleet's. */
const maximumFleetScale = 200;

/** Less demand, in slots at this host, counts as none: one short request in several seconds. */
const minimumSlots = 0.01;

type Demand = {
	slotTime: Milliseconds;
	/** Time that the requests may wait for a slot and still meet their objective. */
	readonly slack: Milliseconds;
	at: Milliseconds;
};

/** What the requests of more urgent priorities need. */
export type UrgentDemand = {
	/** Slots that they occupy on average, over all hosts. */
	readonly slots: number;
	/** The shortest time that any of them may wait for a slot and still meet their objective. */
	readonly slack: Milliseconds;
};

/**
 * Slots that arriving requests of each service and priority occupy on average over
 * all hosts: this host's arrivals, scaled by its share of the fleet's requests.
 */
export class PriorityDemand {
	readonly #hostState: HostState;
	/** Slot time of recent arrivals, by service and priority. */
	readonly #demands = new Map<string, Map<number, Demand>>();

	constructor(hostState: HostState) {
		this.#hostState = hostState;
	}

	/** A request has arrived at this host. */
	onArrived(
		service: string,
		priority: number,
		{slotTime, slack}: Pick<Demand, 'slotTime' | 'slack'>,
		now: Milliseconds,
	): void {
		const demands = this.#demands.get(service) ?? new Map<number, Demand>();
		this.#demands.set(service, demands);
		const demand = demands.get(priority) ?? {slotTime: 0, slack, at: now};
		demands.set(priority, {
			slotTime: decay(demand, now) + slotTime,
			slack,
			at: now,
		});
	}

	/** Lists the services of this host's requests, with their priorities. */
	listServices(): ReadonlyArray<{
		readonly service: string;
		readonly priorities: readonly number[];
	}> {
		return [...this.#demands].map(([service, demands]) => ({
			service,
			priorities: [...demands.keys()],
		}));
	}

	/** Sums the demand of requests more urgent than the priority. */
	sumMoreUrgent(
		service: string,
		priority: number,
		now: Milliseconds,
	): UrgentDemand {
		let slotTime = 0;
		let slack = Number.POSITIVE_INFINITY;
		for (const [other, demand] of this.#demands.get(service) ?? []) {
			const ownSlotTime = decay(demand, now);
			if (other < priority && ownSlotTime > averagingSpan * minimumSlots) {
				slotTime += ownSlotTime;
				slack = Math.min(slack, demand.slack);
			}
		}

		const slots = (slotTime / averagingSpan) * this.#computeFleetScale(now);
		return {slots, slack};
	}

	/** Computes how many requests callers send to all live hosts for each one that they send to this host. */
	#computeFleetScale(now: Milliseconds): number {
		const {requestRate, members} = this.#hostState;
		const ownRate = requestRate.computePerSecond(now);
		let fleetRate = ownRate;
		for (const {digest} of members.listLive(now)) {
			fleetRate += digest?.requestsPerSecond ?? 0;
		}

		return ownRate > 0 ? Math.min(maximumFleetScale, fleetRate / ownRate) : 1;
	}
}

function decay({slotTime, at}: Demand, now: Milliseconds): Milliseconds {
	return slotTime * Math.exp((at - now) / averagingSpan);
}
