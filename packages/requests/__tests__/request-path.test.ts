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
	/** Kinds of endings that occurred. */
	readonly endings: ReadonlySet<string>;
};

function runSessions(
	safeguards: Partial<Safeguards>,
	checksSettled: boolean,
): SessionFindings {
	const endings = new Set<string>();
	const details = fc.check(
		fc.property(sessionArbitrary, (operations) => {
			const fleet = runSession(operations, {hosts, slots, safeguards});
			if (checksSettled) {
				fleet.checkSettled();
			}

			for (const {kind, ends} of fleet.oracle.requests) {
				endings.add(ends === 0 ? 'lost with its host' : (kind ?? 'answered'));
			}
		}),
		{seed, numRuns: sessions, endOnFailure: true},
	);
	const violation = details.failed ? String(details.errorInstance) : undefined;
	return {violation, endings};
}

/** Endings that the sessions must cover for the check to be meaningful. */
const requiredEndings = [
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
	['repeatsOnlyWhatDidNotRun', 'runs at most once'],
	['remembersWhatMayHaveRun', 'did not run when refused as not run'],
	['ignoresOldAttempts', 'Broken'],
	['checksKeyAgain', 'is not sent under a withdrawn key'],
	['countsRetries', 'tokensBeyondSpent'],
	['claimsFirst', 'runs at most once'],
	['readsBack', 'runs at most once for its key'],
	['respectsClaims', 'runs at most once for its key'],
	['asksOwner', 'runs at most once for its key'],
	['releasesOnlyWhatDidNotRun', 'runs at most once for its key'],
];

describe('request path', () => {
	it('upholds its invariants under host, server and store faults', () => {
		const {violation, endings} = runSessions({}, true);
		expect(violation).toEqual(undefined);
		expect([...endings].sort()).toEqual(requiredEndings.toSorted());
	});

	for (const [safeguard, expectedViolation] of mutations) {
		it(`violates an invariant without ${safeguard}`, () => {
			const checksSettled = expectedViolation === 'tokensBeyondSpent';
			const {violation} = runSessions({[safeguard]: false}, checksSettled);
			expect(violation ?? 'no violation').toInclude(expectedViolation);
		});
	}
});
