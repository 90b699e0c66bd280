import type {ServerState} from '../servers/server-state.js';
import {Chooser, type Random} from './chooser.js';

/** One server after the other. */
export class RoundRobinChooser extends Chooser {
	#last: string | undefined;
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
		this.#last = next.server.name;
		return next;
	}

	#findNext(sorted: readonly ServerState[]): ServerState {
		const last = this.#last;
		if (last === undefined) {
			// Hosts that start together must not walk in step.
			return sorted[Math.floor(this.#random() * sorted.length)]!;
		}

		return sorted.find((state) => state.server.name > last) ?? sorted[0]!;
	}
}
