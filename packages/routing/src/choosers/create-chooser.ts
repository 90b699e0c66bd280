import type {Chooser, ChooserName, Random} from './chooser.js';
import {LatencyAndInFlightChooser} from './latency-and-in-flight.js';
import {LeastInFlightOfTwoChooser} from './least-in-flight-of-two.js';
import {RandomChooser} from './random.js';
import {RoundRobinChooser} from './round-robin.js';

/**
 * Creates the chooser with the given name.
 *
 * @example
 * createChooser('least-in-flight-of-two', Math.random);
 */
export function createChooser(name: ChooserName, random: Random): Chooser {
	switch (name) {
		case 'random': {
			return new RandomChooser(random);
		}

		case 'round-robin': {
			return new RoundRobinChooser(random);
		}

		case 'least-in-flight-of-two': {
			return new LeastInFlightOfTwoChooser(random);
		}

		case 'latency-and-in-flight': {
			return new LatencyAndInFlightChooser(random);
		}
	}
}
