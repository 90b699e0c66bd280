import type {ServerState} from '../servers/server-state.js';
import {Chooser, chooseAtRandom, type Random} from './chooser.js';

/** Chooses uniformly at random; a baseline for comparison. */
export class RandomChooser extends Chooser {
	readonly #random: Random;

	constructor(random: Random) {
		super();
		this.#random = random;
	}

	choose(candidates: readonly ServerState[]): ServerState {
		return chooseAtRandom(candidates, this.#random);
	}
}
