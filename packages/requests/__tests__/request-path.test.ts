import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import type {Safeguards} from '../src/safeguards.js';
import {runSession, sessionArbitrary} from './operations.js';

const seed = 4;
const hosts = 3;
// One slot lets queues form.
const slots = 1;
const sessions = 3000;

type Findings = {
	/** The broken promise that the first failing session shows, if any. */
	readonly broken: string | undefined;
	/** The ways in which requests ended. */
	readonly endings: ReadonlySet<string>;
};

function runSessions(
	safeguards: Partial<Safeguards>,
	isHoldChecked: boolean,
): Findings {
	const endings = new Set<string>();
	const details = fc.check(
		fc.property(sessionArbitrary, (operations) => {
			const fleet = runSession(operations, {hosts, slots, safeguards});
			if (isHoldChecked) {
				fleet.checkSettled();
			}

			for (const {kind, ends} of fleet.oracle.requests) {
				endings.add(ends === 0 ? 'lost with its host' : (kind ?? 'answered'));
			}
		}),
		{seed, numRuns: sessions, endOnFailure: true},
	);
	const broken = details.failed ? String(details.errorInstance) : undefined;
	return {broken, endings};
}

/** Endings that the sessions must reach, or else they show nothing. */
const wantedEndings = [
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
	['asksOwner', 'runs at most once for its key'],
	['releasesOnlyWhatDidNotRun', 'runs at most once for its key'],
];

describe('request path', () => {
	it('keeps its promises through faults of hosts, servers and store', () => {
		const {broken, endings} = runSessions({}, true);
		expect(broken).toEqual(undefined);
		expect([...endings].sort()).toEqual(wantedEndings.toSorted());
	});

	for (const [safeguard, promise] of mutations) {
		it(`breaks a promise without ${safeguard}`, () => {
			const isHoldChecked = promise === 'tokensBeyondSpent';
			const {broken} = runSessions({[safeguard]: false}, isHoldChecked);
			expect(broken ?? 'nothing broken').toInclude(promise);
		});
	}
});
