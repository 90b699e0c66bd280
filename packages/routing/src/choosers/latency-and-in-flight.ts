import type {Milliseconds} from '@parsleyvale/shared';
import type {ServerState} from '../servers/server-state.js';
import {Chooser, chooseAtRandom, type Random} from './chooser.js';

/** Number of servers sampled for each choice. */
const sampleSize = 4;
/** Servers above this quantile of the utilization are considered highly utilized. */
const utilizationQuantile = 0.75;

/**
 * Chooses, from a random sample, the server with the lowest latency that is not
 * highly utilized, or the least utilized one if all are. Based on Prequal (NSDI
 * 2024), with regular requests in place of probes.
 */
export class LatencyAndInFlightChooser extends Chooser {
	readonly #random: Random;

	constructor(random: Random) {
		super();
		this.#random = random;
	}

	choose(candidates: readonly ServerState[], now: Milliseconds): ServerState {
		const utilizationThreshold = computeUtilizationThreshold(
			candidates.map((state) => state.getUtilization(now)),
		);
		const sample = this.#sampleServers(candidates);
		const lessUtilized = sample.filter(
			(state) => state.getUtilization(now) <= utilizationThreshold,
		);
		return lessUtilized.length > 0
			? findLowest(lessUtilized, (state) => computeExpectedLatency(state, now))
			: findLowest(sample, (state) => state.getUtilization(now));
	}

	#sampleServers(candidates: readonly ServerState[]): ServerState[] {
		const remaining = [...candidates];
		const sample: ServerState[] = [];
		while (sample.length < sampleSize && remaining.length > 0) {
			const chosen = chooseAtRandom(remaining, this.#random);
			remaining.splice(remaining.indexOf(chosen), 1);
			sample.push(chosen);
		}

		return sample;
	}
}

function computeUtilizationThreshold(values: readonly number[]): number {
	const sorted = values.toSorted((one, other) => one - other);
	return sorted[Math.floor((sorted.length - 1) * utilizationQuantile)]!;
}

/**
 * Servers without recent latency samples cost 0, so that requests probe them.
 */
function computeExpectedLatency(
	state: ServerState,
	now: Milliseconds,
): Milliseconds {
	return (state.latency.get(now) ?? 0) * (1 + state.getUtilization(now));
}

function findLowest(
	states: readonly ServerState[],
	computeCost: (state: ServerState) => number,
): ServerState {
	let lowest = states[0]!;
	for (const state of states) {
		if (computeCost(state) < computeCost(lowest)) {
			lowest = state;
		}
	}

	return lowest;
}
