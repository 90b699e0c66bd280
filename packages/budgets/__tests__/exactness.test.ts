import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {session} from './commands.js';
import {runSession} from './run-session.js';

const runs = 40;

describe('budgets under faults', () => {
	for (const seed of [1, 2, 3]) {
		it(`never exceed the global rate and count, seed ${seed}`, () => {
			fc.assert(
				fc.property(session, (each) => runSession(each) === undefined),
				{seed, numRuns: runs},
			);
		});
	}
});
