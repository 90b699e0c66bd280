import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import type {Safeguards} from '../src/safeguards.js';
import {session, type Command, type Session} from './commands.js';
import {runSession} from './run-session.js';

type Mutation = {
	readonly safeguard: keyof Safeguards;
	readonly sessions: fc.Arbitrary<Session>;
	readonly runs: number;
};

const drain = (span: number, isQuiet = false): Command => ({
	do: 'drain',
	span,
	isQuiet,
});

/** Generates sessions of the given steps with a random seed and duration. */
function createSessions(
	steps: (span: number) => readonly Command[],
): fc.Arbitrary<Session> {
	return fc
		.record({seed: fc.nat(1_000_000), span: fc.integer({min: 1, max: 3000})})
		.map(({seed, span}) => ({size: 3, seed, commands: steps(span)}));
}

const pauseSessions = createSessions((span) => [
	drain(span),
	{do: 'freeze', host: 0},
	drain(4000),
	{do: 'wake', host: 0},
	drain(500),
]);

const killSessions = createSessions((span) => [
	drain(span),
	{do: 'kill', host: 0},
	drain(8000),
	{do: 'restart', host: 0},
	drain(8000),
]);

const mutations: readonly Mutation[] = [
	{
		safeguard: 'applyClockMargin',
		sessions: createSessions((span) => [drain(6000 + span, true)]),
		runs: 20,
	},
	{safeguard: 'checkOnTake', sessions: pauseSessions, runs: 20},
	{safeguard: 'requirePromise', sessions: pauseSessions, runs: 20},
	{safeguard: 'waitForPromise', sessions: pauseSessions, runs: 20},
	{safeguard: 'startEmpty', sessions: killSessions, runs: 20},
	{safeguard: 'waitForHolds', sessions: killSessions, runs: 20},
	{safeguard: 'checkSplit', sessions: killSessions, runs: 20},
	{safeguard: 'debitBeforeCredit', sessions: session, runs: 20},
	{safeguard: 'applyOnce', sessions: session, runs: 20},
	{safeguard: 'waitForLoan', sessions: session, runs: 40},
	{
		safeguard: 'checkIncarnation',
		sessions: createSessions((span) => [
			{
				do: 'weather',
				conditions: {lossRate: 0, duplicateRate: 0.5, maxMessageDelay: 400},
			},
			{do: 'run', span: 2000},
			{do: 'want', host: 0, amount: 100},
			{do: 'run', span: 50 + span / 10},
			{do: 'restart', host: 0},
			drain(8000),
		]),
		runs: 40,
	},
	{
		safeguard: 'keepUnknownWrite',
		sessions: createSessions((span) => [
			{do: 'kill', host: 0},
			drain(3000, true),
			{
				do: 'weather',
				conditions: {lossRate: 0.5, duplicateRate: 0, maxMessageDelay: 10},
			},
			{do: 'store', mode: 'applying'},
			{do: 'restart', host: 0},
			drain(200 + span / 3, true),
			{do: 'store', mode: 'up'},
			drain(1500, true),
		]),
		runs: 40,
	},
];

const seed = 6;

describe('the fuzzer', () => {
	for (const {safeguard, sessions, runs} of mutations) {
		it(`detects an overrun without ${safeguard}, seed ${seed}`, () => {
			const isExact = (each: Session) =>
				runSession(each, {[safeguard]: false}) === undefined;
			const details = fc.check(fc.property(sessions, isExact), {
				seed,
				numRuns: runs,
				endOnFailure: true,
			});
			expect(details.failed).toEqual(true);
		});
	}

	it(`finds no overrun with all safeguards in the same sessions, seed ${seed}`, () => {
		const sessions = fc.oneof(...mutations.map((each) => each.sessions));
		const isExact = (each: Session) => runSession(each) === undefined;
		fc.assert(fc.property(sessions, isExact), {seed, numRuns: 40});
	});
});
