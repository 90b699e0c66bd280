import type {Milliseconds} from '@parsleyvale/shared';
import {computeHash} from '../hash.js';
import type {HostState} from '../host-state.js';
import type {ProcessingTimes} from '../placement/processing-times.js';
import type {BackendServer, SteeringRoute} from '../model.js';
import type {ServerState} from '../servers/server-state.js';
import {PriorityDemand} from './priority-demand.js';
import {ServiceShares} from './service-shares.js';
import {SlotTimes} from './slot-times.js';
import {UnseenLoad} from './unseen-load.js';

/** Free slots kept for bursts, as a fraction of the slots that the more urgent requests occupy. */
const burstMargin = 0.6;
/** Free slots kept for random variation, in standard deviations of the number of slots that they occupy. */
const variationMargin = 1.5;
/** Part of the time that an urgent request may wait within which a slot should become free on average. */
const plannedSlackFraction = 0.5;
const maximumReservedFraction = 0.5;
/** From a wait of two thirds beyond the planned one on, the headroom is complete. */
const needFactor = 1.5;
/** How long a computed fraction is reused: two ticks. */
const sampleLifetime: Milliseconds = 100;

type Sample = {
	readonly fraction: number;
	readonly slack: Milliseconds;
	readonly at: Milliseconds;
};

/** Bounds on the load of a server that takes a request. */
type Bounds = {
	readonly reservedFraction: number;
	/** Requests that are likely at a server beyond its known load. */
	readonly unseenLoad: number;
	/** The time that more urgent requests may wait for a slot; infinite if there are none. */
	readonly slack: Milliseconds;
	/** Slot time of the request with a cached and an uncached object. */
	readonly warm: Milliseconds;
	readonly cold: Milliseconds;
};

/** What the headroom depends on. */
export type HeadroomRequest = {
	readonly route: SteeringRoute;
	readonly service: string;
	/** 0 is the highest priority. */
	readonly priority: number;
	readonly objectHash: number;
};

/**
 * Keeps a share of each server's slots free for more urgent priorities, sized by
 * their demand over all hosts. Every host computes it by itself, and all of them
 * distribute a fraction of a slot over the same servers.
 */
export class PriorityHeadroom {
	readonly slotTimes: SlotTimes;
	readonly shares = new ServiceShares();
	readonly unseenLoad = new UnseenLoad();
	readonly #hostState: HostState;
	readonly #processingTimes: ProcessingTimes;
	readonly #demand: PriorityDemand;
	readonly #samples = new Map<string, Map<number, Sample>>();
	/** The request that candidates are compared for. */
	#current:
		| {
				readonly request: HeadroomRequest;
				readonly at: Milliseconds;
				readonly bounds: Bounds;
		  }
		| undefined;

	readonly #positions = new WeakMap<BackendServer, number>();

	constructor(hostState: HostState, processingTimes: ProcessingTimes) {
		this.#hostState = hostState;
		this.#processingTimes = processingTimes;
		this.slotTimes = new SlotTimes(processingTimes);
		this.#demand = new PriorityDemand(hostState);
	}

	/** A request has arrived at this host. */
	onArrived(
		{route, service, priority}: HeadroomRequest,
		now: Milliseconds,
	): void {
		const slotTime = this.slotTimes.get(route);
		const {warm} = this.#processingTimes.get(route);
		const slack = Math.max(0, route.latencyObjectiveMs - warm);
		this.#demand.onArrived(service, priority, {slotTime, slack}, now);
	}

	/**
	 * Returns the load up to which the request may be placed on the server; above
	 * the number of slots, it waits there. Without load control the headroom sets no
	 * bound.
	 *
	 * @example
	 * const isAllowed = state.computeLoad(now) < headroom.getUsableSlots(request, state, now);
	 */
	getUsableSlots(
		request: HeadroomRequest,
		state: ServerState,
		now: Milliseconds,
	): number {
		if (!this.#hostState.loadControl.isEnabled) {
			return Number.POSITIVE_INFINITY;
		}

		if (this.#current?.request !== request || this.#current.at !== now) {
			const bounds = this.#computeBounds(request, now);
			this.#current = {request, at: now, bounds};
		}

		return computeUsableSlots(
			this.#current.bounds,
			state.hasCached(request.objectHash),
			state.server.slots,
			this.#getPosition(state.server),
		);
	}

	/** Lists the services with load control, with the priorities of their requests. */
	listServices(): ReturnType<PriorityDemand['listServices']> {
		return this.#hostState.loadControl.isEnabled
			? this.#demand.listServices()
			: [];
	}

	/** Returns the fraction of the service's slots kept free for priorities more urgent than this one. */
	getReservedFraction(
		service: string,
		priority: number,
		now: Milliseconds,
	): number {
		return this.#getSample(service, priority, now).fraction;
	}

	/** Returns the mean time after which a slot of the service becomes free; undefined: as the request's route. */
	findMeanSlotTime(service: string): Milliseconds | undefined {
		return this.#hostState.loadControl.isEnabled
			? this.slotTimes.findServiceMean(service)
			: undefined;
	}

	#computeBounds(
		{service, priority, route}: HeadroomRequest,
		now: Milliseconds,
	): Bounds {
		const {fraction, slack} = this.#getSample(service, priority, now);
		const tolerance = this.shares.computeTolerance(service, route.name, now);
		return {
			reservedFraction: fraction * tolerance,
			unseenLoad: this.unseenLoad.get(service),
			slack,
			...this.#processingTimes.get(route),
		};
	}

	#getSample(service: string, priority: number, now: Milliseconds): Sample {
		const samples = this.#samples.get(service) ?? new Map<number, Sample>();
		this.#samples.set(service, samples);
		const sample = samples.get(priority);
		if (sample !== undefined && now - sample.at < sampleLifetime) {
			return sample;
		}

		const newSample = this.#computeSample(service, priority, now);
		samples.set(priority, newSample);
		return newSample;
	}

	#computeSample(service: string, priority: number, now: Milliseconds): Sample {
		const demand = this.#demand.sumMoreUrgent(service, priority, now);
		const {slack} = demand;
		const {servers, slots} = this.#countSlots(service, now);
		if (demand.slots === 0 || slots === 0) {
			return {fraction: 0, slack, at: now};
		}

		// Variation is that of one server, as a request for a cached object has few others to go to.
		const slotsPerServer = demand.slots / servers;
		const reserved =
			slotsPerServer * burstMargin +
			Math.sqrt(slotsPerServer) * variationMargin;
		const fraction = Math.min(
			maximumReservedFraction,
			(reserved * servers) / slots,
		);
		return {fraction, slack, at: now};
	}

	#countSlots(
		service: string,
		now: Milliseconds,
	): {readonly servers: number; readonly slots: number} {
		const pool = this.#hostState.serverTable.findPool(service);
		const usable = (pool?.servers ?? []).filter((state) => state.isUsable(now));
		let slots = 0;
		for (const {server} of usable) {
			slots += server.slots;
		}

		return {servers: usable.length, slots};
	}

	/** Returns a number from 0 to below 1 that is the same on all hosts. */
	#getPosition(server: BackendServer): number {
		let position = this.#positions.get(server);
		if (position === undefined) {
			position = computeHash(server.id) / 2 ** 32;
			this.#positions.set(server, position);
		}

		return position;
	}
}

/**
 * Computes the load up to which a server takes a request. Where less urgent work is
 * so short that a slot becomes free in time for an urgent request, it may fill the
 * server and queue there; the longer it takes, the more slots are kept free. Fractions
 * of a slot are rounded up at as many servers as they require.
 */
function computeUsableSlots(
	{reservedFraction, unseenLoad, slack, warm, cold}: Bounds,
	isCached: boolean,
	slots: number,
	position: number,
): number {
	// Slots that become free while an urgent request can wait, less its own.
	const freed = (slots * slack) / (isCached ? warm : cold);
	const spare = freed * plannedSlackFraction - 1;
	if (reservedFraction === 0 || spare >= 0) {
		return slots + Math.min(slots, Math.max(0, Math.ceil(freed - 1)));
	}

	const need = Math.min(1, -spare * needFactor);
	const maximum = Math.floor(slots * maximumReservedFraction);
	const reserved = Math.min(maximum, reservedFraction * slots * need);
	return Math.max(1, slots - Math.floor(reserved + unseenLoad + position));
}
