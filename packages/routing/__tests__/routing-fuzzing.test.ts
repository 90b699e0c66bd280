import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Safeguards} from '../src/safeguards.js';
import {Fleet} from './support/fleet.js';
import {stepsArbitrary} from './support/fleet-steps.js';

const seed = 4;
const numRuns = 300;

/** The first problem that the oracle found, if any. */
function findProblem(safeguards: Partial<Safeguards>): string | undefined {
	let problem: string | undefined;
	fc.check(
		fc.property(stepsArbitrary, (steps) => {
			const fleet = new Fleet(safeguards);
			fleet.run(steps);
			problem ??= fleet.problems[0];
			return fleet.problems.length === 0;
		}),
		{seed, numRuns, endOnFailure: true},
	);
	return problem;
}

describe('routing under fuzzing', () => {
	it('keeps every bound of the oracle', () => {
		expect(findProblem({})).toEqual(undefined);
	});

	const mutations: ReadonlyArray<[keyof Safeguards, RegExp]> = [
		['roomBudget', /are held|over its room/],
		['drains', /is drained/],
		['ejection', /is ejected/],
		['shiftBudget', /over its cap/],
		['ratesStay', /over its cap/],
		['endOnce', /are held/],
		['retryBudget', /over its retries/],
		['serverSlots', /over its slots/],
	];
	for (const [safeguard, message] of mutations) {
		it(`finds the fault without the safeguard ${safeguard}`, () => {
			const problem = findProblem({[safeguard]: false});
			expect(problem ?? 'none').toMatchRegex(message);
		});
	}
});
