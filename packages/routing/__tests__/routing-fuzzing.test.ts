import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Safeguards} from '../src/safeguards.js';
import {Fleet} from './support/fleet.js';
import {stepsArbitrary} from './support/fleet-steps.js';

const seed = 4;
const numRuns = 1000;

/** Returns the first violation that the oracle found, if any. */
function findProblem(safeguards: Partial<Safeguards>): string | undefined {
	let problem: string | undefined;
	fc.check(
		fc.property(stepsArbitrary, (steps) => {
			const fleet = new Fleet(safeguards);
			fleet.run(steps);
			problem ??= fleet.violations[0];
			return fleet.violations.length === 0;
		}),
		{seed, numRuns, endOnFailure: true},
	);
	return problem;
}

describe('routing under fuzzing', () => {
	it('violates no limit of the oracle', () => {
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
		it(`detects the fault without the safeguard ${safeguard}`, () => {
			const problem = findProblem({[safeguard]: false});
			expect(problem ?? 'none').toMatchRegex(message);
		});
	}
});
