import type {Safeguards} from '../src/safeguards.js';
import {runCommand, type Session} from './commands.js';
import {World} from './world.js';

/** Runs a session; the first overrun, or undefined when all bounds held. */
export function runSession(
	{size, seed, commands}: Session,
	safeguards: Partial<Safeguards> = {},
): string | undefined {
	const world = new World(size, seed, safeguards);
	world.run(3000);
	for (const command of commands) {
		runCommand(world, command);
		if (world.overrun !== undefined) {
			return world.overrun;
		}
	}

	return undefined;
}
