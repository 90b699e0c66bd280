import type {Milliseconds} from '@parsleyvale/shared';
import type {ServerState} from '../servers/server-state.js';

/** Ways to choose one backend server of several that could take a request. */
export type ChooserName =
	'random' | 'round-robin' | 'least-in-flight-of-two' | 'latency-and-in-flight';

/** Chooses among backend servers of one region and pool. */
export abstract class Chooser {
	/** `candidates` holds at least one server, all of them usable. */
	abstract choose(
		candidates: readonly ServerState[],
		now: Milliseconds,
	): ServerState;
}

/** Uniform numbers from 0 to below 1. */
export type Random = () => number;

/** A uniform choice; `candidates` is not empty. */
export function chooseAtRandom(
	candidates: readonly ServerState[],
	random: Random,
): ServerState {
	return candidates[Math.floor(random() * candidates.length)]!;
}
