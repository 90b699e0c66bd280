import type {Milliseconds} from '@parsleyvale/shared';
import type {ServerState} from '../servers/server-state.js';
import type {PlacementRequest} from './candidates.js';
import type {NetworkDelays} from './network-delays.js';
import type {ProcessingTimes} from './processing-times.js';
import type {ResponseSizes} from './response-sizes.js';

/** Estimated probability that a server has cached an object that it is not known to have handled: for the object's top-ranked server, and for any other. */
const cachedProbabilityOfTopRanked = 0.3;
const cachedProbabilityOfOthers = 0.05;
/** The same for an object that the server has recently handled or is processing. */
const cachedProbabilityWhenTracked = 0.95;
/**
 * Additional weight of slot time in a server's cost, in an idle and in a full
 * pool. It rises with utilization, so that a full pool spends its slots on
 * cached objects.
 */
const idleSlotWeight = 0.5;
const fullSlotWeight = 2;
/** Utilization up to which a pool counts as idle. */
const idleUtilization = 0.5;
/** Factor of the processing time of an uncached object that must remain before the deadline, as that time varies. */
const uncachedTimeFactor = 1.4;
/** Cost multiplier for a server whose last attempt failed. */
const suspectCostFactor = 2;

/** Inputs to a candidate's score other than the server's own state. */
export type ScoringContext = {
	readonly isTopRanked: boolean;
	readonly utilization: number;
	/** Mean time that requests of all routes occupy a slot; undefined: that of the request's route. */
	readonly meanSlotTime: Milliseconds | undefined;
};

export type ScoredCandidate = {
	/** Time to wait until the server has the object cached; undefined: send at once. */
	readonly timeUntilCached: Milliseconds | undefined;
	readonly state: ServerState;
	/** Expected time until the answer. */
	readonly responseTime: Milliseconds;
	/** Response time plus the cost to other requests. */
	readonly cost: Milliseconds;
	readonly networkTime: Milliseconds;
	readonly queueTime: Milliseconds;
	readonly processingTime: Milliseconds;
	readonly isCached: boolean;
	readonly load: number;
};

export type ServerScorerOptions = {
	readonly processingTimes: ProcessingTimes;
	readonly delays: NetworkDelays;
	readonly responseSizes: ResponseSizes;
};

/** Estimates the response time and the cost of a request at each candidate. */
export class ServerScorer {
	readonly #processingTimes: ProcessingTimes;
	readonly #delays: NetworkDelays;
	readonly #responseSizes: ResponseSizes;

	constructor({processingTimes, delays, responseSizes}: ServerScorerOptions) {
		this.#processingTimes = processingTimes;
		this.#delays = delays;
		this.#responseSizes = responseSizes;
	}

	score(
		state: ServerState,
		{route, objectHash, bodyBytes}: PlacementRequest,
		{isTopRanked, utilization, meanSlotTime}: ScoringContext,
		now: Milliseconds,
	): ScoredCandidate {
		const {warm, cold} = this.#processingTimes.get(route);
		const isCached = state.hasCached(objectHash);
		const timeUntilCached = isCached
			? undefined
			: state.findTimeUntilCached(objectHash, now);
		const cachedProbability =
			isCached || timeUntilCached !== undefined
				? cachedProbabilityWhenTracked
				: isTopRanked
					? cachedProbabilityOfTopRanked
					: cachedProbabilityOfOthers;
		const processingTime =
			cachedProbability * warm + (1 - cachedProbability) * cold;
		const {slots} = state.server;
		const load = state.computeLoad(now);
		const queueTime =
			(Math.max(0, load - slots + 1) * (meanSlotTime ?? warm)) / slots;
		const slowness = state.computeSlowness(now);
		const suspectFactor =
			(state.isSuspect ? suspectCostFactor : 1) * state.computeShedFactor(now);
		const networkTime = this.#delays.compute(state.server, bodyBytes);
		const responseTime =
			networkTime +
			(timeUntilCached ?? 0) +
			(queueTime + processingTime) * slowness;
		const slotCost = processingTime * slowness * computeSlotWeight(utilization);
		const linkCost = this.#delays.computeLinkCost(
			state.server,
			bodyBytes + this.#responseSizes.get(route.name),
		);
		const cost = (responseTime + slotCost) * suspectFactor + linkCost;
		return {
			state,
			load,
			networkTime,
			queueTime,
			processingTime,
			isCached,
			timeUntilCached,
			responseTime,
			cost,
		};
	}
}

/** Whether the server can take the request now, with a load below `usableSlots`, and answer before its deadline. */
export function canServe(
	{
		state,
		load,
		processingTime,
		responseTime,
		isCached,
		timeUntilCached,
	}: ScoredCandidate,
	{deadline, objectiveDeadline}: PlacementRequest,
	usableSlots: number,
	now: Milliseconds,
): boolean {
	if (load >= usableSlots) {
		return false;
	}

	const {slots} = state.server;
	if (isCached || timeUntilCached !== undefined) {
		// Queuing at a server that has the object cached is acceptable if the answer meets the objective.
		const isInTime = now + responseTime <= objectiveDeadline;
		const hasFreeSlot = load < slots;
		return (hasFreeSlot || isInTime) && now + responseTime < deadline;
	}

	const margin = processingTime * (uncachedTimeFactor - 1);
	return load < slots && now + responseTime + margin < deadline;
}

function computeSlotWeight(utilization: number): number {
	const fullness =
		Math.max(0, utilization - idleUtilization) / (1 - idleUtilization);
	return idleSlotWeight + fullness * (fullSlotWeight - idleSlotWeight);
}
