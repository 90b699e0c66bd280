import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Safeguards} from '../src/safeguards.js';
import {Fleet} from './support/fleet.js';
import {stepsArbitrary} from './support/fleet-steps.js';

const seed = 4;
const numRuns = 1000;

/** Returns the first violation that the oracle found, if any. */
function findViolation(safeguards: Partial<Safeguards>): string | undefined {
	let violation: string | undefined;
	fc.check(
		fc.property(stepsArbitrary, (steps) => {
			const fleet = new Fleet(safeguards);
			fleet.run(steps);
			violation ??= fleet.violations[0];
			return fleet.violations.length === 0;
		}),
		{seed, numRuns, endOnFailure: true},
	);
	return violation;
}

describe('routing under fuzzing', () => {
	it('violates no limit of the oracle', () => {
		expect(findViolation({})).toEqual(undefined);
	});

	const expectedViolations: ReadonlyArray<[keyof Safeguards, RegExp]> = [
		['takeCapacity', /are held|over its room/],
		['excludeDrained', /is drained/],
		['excludeEjected', /is ejected/],
		['takeShiftBudget', /over its cap/],
		['keepRateTokens', /over its cap/],
		['endOnce', /are held/],
		['limitRetries', /over its retries/],
		['limitInFlight', /over its slots/],
	];
	for (const [safeguard, message] of expectedViolations) {
		it(`detects the fault without the safeguard ${safeguard}`, () => {
			const violation = findViolation({[safeguard]: false});
			expect(violation ?? 'none').toMatchRegex(message);
		});
	}
});
