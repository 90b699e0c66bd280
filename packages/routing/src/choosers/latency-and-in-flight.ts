import type {Milliseconds} from '@parsleyvale/shared';
import type {ServerState} from '../servers/server-state.js';
import {Chooser, chooseAtRandom, type Random} from './chooser.js';

/** Servers compared for one choice. */
const sampleSize = 4;
/** Servers above this quantile of utilization are hot. */
const hotQuantile = 0.75;

/**
 * Of a few servers, the cold one with the lowest latency; when all are hot,
 * the least utilized. After Prequal (NSDI 2024), with own requests as probes.
 */
export class LatencyAndInFlightChooser extends Chooser {
	readonly #random: Random;

	constructor(random: Random) {
		super();
		this.#random = random;
	}

	choose(candidates: readonly ServerState[], now: Milliseconds): ServerState {
		const threshold = computeQuantile(
			candidates.map((state) => state.getUtilization(now)),
		);
		const sample = this.#sampleServers(candidates);
		const cold = sample.filter(
			(state) => state.getUtilization(now) <= threshold,
		);
		return cold.length > 0
			? findLowest(cold, (state) => computeExpectedLatency(state, now))
			: findLowest(sample, (state) => state.getUtilization(now));
	}

	#sampleServers(candidates: readonly ServerState[]): ServerState[] {
		const rest = [...candidates];
		const sample: ServerState[] = [];
		while (sample.length < sampleSize && rest.length > 0) {
			const chosen = chooseAtRandom(rest, this.#random);
			rest.splice(rest.indexOf(chosen), 1);
			sample.push(chosen);
		}

		return sample;
	}
}

function computeQuantile(values: readonly number[]): number {
	const sorted = values.toSorted((one, other) => one - other);
	return sorted[Math.floor((sorted.length - 1) * hotQuantile)]!;
}

/** A server without a recent answer is tried: traffic is the probe. */
function computeExpectedLatency(
	state: ServerState,
	now: Milliseconds,
): Milliseconds {
	return (state.latency.get(now) ?? 0) * (1 + state.getUtilization(now));
}

function findLowest(
	states: readonly ServerState[],
	toCost: (state: ServerState) => number,
): ServerState {
	let lowest = states[0]!;
	for (const state of states) {
		if (toCost(state) < toCost(lowest)) {
			lowest = state;
		}
	}

	return lowest;
}
