import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import type {Safeguards} from '../src/safeguards.js';
import {runSession, sessionArbitrary} from './operations.js';

const seed = 4;
const hosts = 3;
// A single slot makes requests queue.
const slots = 1;
const sessions = 3000;

type SessionFindings = {
	/** Invariant violated by the first failing session, if any. */
	readonly violation: string | undefined;
	/** Outcomes of requests that occurred. */
	readonly outcomes: ReadonlySet<string>;
};

function runSessions(
	safeguards: Partial<Safeguards>,
	checksSettled: boolean,
): SessionFindings {
	const outcomes = new Set<string>();
	const details = fc.check(
		fc.property(sessionArbitrary, (operations) => {
			const fleet = runSession(operations, {hosts, slots, safeguards});
			if (checksSettled) {
				fleet.checkSettled();
			}

			for (const {kind, ends} of fleet.oracle.requests) {
				outcomes.add(ends === 0 ? 'lost with its host' : (kind ?? 'answered'));
			}
		}),
		{seed, numRuns: sessions, endOnFailure: true},
	);
	const violation = details.failed ? String(details.errorInstance) : undefined;
	return {violation, outcomes};
}

/** Outcomes that the sessions must cover for the check to be meaningful. */
const requiredOutcomes = [
	'answered',
	'answer-cut',
	'caller-gone',
	'claim-unavailable',
	'deadline-exceeded',
	'duplicate-completed',
	'duplicate-in-progress',
	'idempotency-key-reused',
	'key-missing',
	'key-withdrawn',
	'lost with its host',
	'no-room',
	'no-server',
	'outcome-unknown',
	'server-refused',
	'share-unavailable',
	'stopping',
];

/** Violation that the oracle reports when the safeguard is disabled. */
const mutations: ReadonlyArray<readonly [keyof Safeguards, string]> = [
	['retryOnlyIfNotRun', 'runs at most once'],
	['rememberPossibleRun', 'did not run when refused as not run'],
	['ignoreOldAttempts', 'Broken'],
	['recheckKey', 'is not sent under a withdrawn key'],
	['chargeRetries', 'tokensBeyondSpent'],
	['waitForClaim', 'runs at most once'],
	['readBack', 'runs at most once for its key'],
	['respectClaims', 'runs at most once for its key'],
	['askOwner', 'runs at most once for its key'],
	['releaseOnlyIfNotRun', 'runs at most once for its key'],
];

describe('request path', () => {
	it('upholds its invariants under host, server and store faults', () => {
		const {violation, outcomes} = runSessions({}, true);
		expect(violation).toEqual(undefined);
		expect([...outcomes].sort()).toEqual(requiredOutcomes.toSorted());
	});

	for (const [safeguard, expectedViolation] of mutations) {
		it(`violates an invariant without ${safeguard}`, () => {
			const checksSettled = expectedViolation === 'tokensBeyondSpent';
			const {violation} = runSessions({[safeguard]: false}, checksSettled);
			expect(violation ?? 'no violation').toInclude(expectedViolation);
		});
	}
});
