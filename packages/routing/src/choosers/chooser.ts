import type {Milliseconds} from '@parsleyvale/shared';
import type {ServerState} from '../servers/server-state.js';

/** Load-balancing policies for choosing one of several backend servers. */
export type ChooserName =
	'random' | 'round-robin' | 'least-in-flight-of-two' | 'latency-and-in-flight';

/** Load-balancing policy for the backend servers of a pool in a region. */
export abstract class Chooser {
	/** `candidates` must not be empty, and all of them must be able to take a request. */
	abstract choose(
		candidates: readonly ServerState[],
		now: Milliseconds,
	): ServerState;
}

/** Returns a uniformly distributed number in [0, 1). */
export type Random = () => number;

/** Chooses uniformly at random. `candidates` must not be empty. */
export function chooseAtRandom(
	candidates: readonly ServerState[],
	random: Random,
): ServerState {
	return candidates[Math.floor(random() * candidates.length)]!;
}
