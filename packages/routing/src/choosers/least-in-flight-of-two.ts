import type {Milliseconds} from '@parsleyvale/shared';
import type {ServerState} from '../servers/server-state.js';
import {Chooser, chooseAtRandom, type Random} from './chooser.js';

/** Power of two choices: the less utilized of two random servers. */
export class LeastInFlightOfTwoChooser extends Chooser {
	readonly #random: Random;

	constructor(random: Random) {
		super();
		this.#random = random;
	}

	choose(candidates: readonly ServerState[], now: Milliseconds): ServerState {
		const one = chooseAtRandom(candidates, this.#random);
		if (candidates.length === 1) {
			return one;
		}

		const remaining = candidates.filter((state) => state !== one);
		const other = chooseAtRandom(remaining, this.#random);
		return one.getUtilization(now) <= other.getUtilization(now) ? one : other;
	}
}
