import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Safeguards} from '../src/options.js';
import {runSession, steps} from './session.js';

const seed = 52_026;
const runCount = 60;

function checkSessions(safeguards: Partial<Safeguards>, numRuns: number) {
	const property = fc.property(steps, fc.nat(), (script, networkSeed) => {
		runSession(script, networkSeed, safeguards);
	});
	return fc.check(property, {seed, numRuns, endOnFailure: true});
}

describe('configuration and keys under injected faults', () => {
	it('never reverts a version, applies each change at most once, and accepts no withdrawn key', () => {
		const result = checkSessions({}, runCount);
		expect(result.failed ? fc.defaultReportMessage(result) : '').toEqual('');
	});
});
