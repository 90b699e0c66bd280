import type {ServerState} from '../servers/server-state.js';
import {Chooser, type Random} from './chooser.js';

/** Chooses servers in turn, ordered by name. */
export class RoundRobinChooser extends Chooser {
	#lastServerName: string | undefined;
	readonly #random: Random;

	constructor(random: Random) {
		super();
		this.#random = random;
	}

	choose(candidates: readonly ServerState[]): ServerState {
		const sorted = candidates.toSorted((one, other) =>
			one.server.name < other.server.name ? -1 : 1,
		);
		const next = this.#findNext(sorted);
		this.#lastServerName = next.server.name;
		return next;
	}

	#findNext(sorted: readonly ServerState[]): ServerState {
		const last = this.#lastServerName;
		if (last === undefined) {
			// Start at a random server, so that hosts started together do not
			// send requests to the same server at the same time.
			return sorted[Math.floor(this.#random() * sorted.length)]!;
		}

		return sorted.find((state) => state.server.name > last) ?? sorted[0]!;
	}
}
