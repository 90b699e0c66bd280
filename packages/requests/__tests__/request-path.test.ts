import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import type {Safeguards} from '../src/safeguards.js';
import {runSession, sessionArbitrary} from './operations.js';

const seed = 4;
const hosts = 3;
const sessions = 1500;

/** The broken promise that the first failing session shows, if any. */
function findBroken(
	safeguards: Partial<Safeguards>,
	isHoldChecked: boolean,
): string | undefined {
	const details = fc.check(
		fc.property(sessionArbitrary, (operations) => {
			const fleet = runSession(operations, {hosts, safeguards});
			if (isHoldChecked) {
				fleet.checkSettled();
			}
		}),
		{seed, numRuns: sessions, endOnFailure: true},
	);
	return details.failed ? String(details.errorInstance) : undefined;
}

/** What each safeguard stands for, as the oracle says it. */
const mutations: ReadonlyArray<readonly [keyof Safeguards, string]> = [
	['repeatsOnlyWhatDidNotRun', 'runs at most once'],
	['remembersWhatMayHaveRun', 'did not run when refused as not run'],
	['ignoresOldAttempts', 'Broken'],
	['checksKeyAgain', 'is not sent under a withdrawn key'],
	['countsRetries', 'tokensBeyondSpent'],
	['claimsFirst', 'runs at most once'],
	['readsBack', 'runs at most once for its key'],
	['respectsClaims', 'runs at most once for its key'],
	['releasesOnlyWhatDidNotRun', 'runs at most once for its key'],
];

describe('request path', () => {
	it('keeps its promises through faults of hosts, servers and store', () => {
		expect(findBroken({}, true)).toEqual(undefined);
	});

	for (const [safeguard, promise] of mutations) {
		it(`breaks a promise without ${safeguard}`, () => {
			const isHoldChecked = promise === 'tokensBeyondSpent';
			const broken = findBroken({[safeguard]: false}, isHoldChecked);
			expect(broken ?? 'nothing broken').toInclude(promise);
		});
	}
});
