import type {Safeguards} from '../src/safeguards.js';
import {runCommand, type Session} from './commands.js';
import {Simulation} from './simulation.js';

/**
 * Runs a session; returns the first overrun, or undefined if there was none.
 */
export function runSession(
	{size, seed, commands}: Session,
	safeguards: Partial<Safeguards> = {},
): string | undefined {
	const simulation = new Simulation(size, seed, safeguards);
	simulation.run(3000);
	for (const command of commands) {
		runCommand(simulation, command);
		if (simulation.overrun !== undefined) {
			return simulation.overrun;
		}
	}

	return undefined;
}
