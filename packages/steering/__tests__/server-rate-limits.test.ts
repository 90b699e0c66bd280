import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {SteeringEffect} from '../src/index.js';
import {createServer, KernelSession} from './support/kernel-session.js';

/** Returns the limits in the log lines among the effects. */
function listLoggedLimits(effects: readonly SteeringEffect[]): unknown[] {
	return effects.flatMap((effect) =>
		effect.type === 'log' && effect.message === 'server rate limit changed'
			? [effect.fields.requestsPerSecond]
			: [],
	);
}

function answerWithLimit(
	session: KernelSession,
	id: string,
	requestsPerSecond: number | undefined,
): SteeringEffect[] {
	return session.endAttempt(id, 1, {rateLimit: {requestsPerSecond}});
}

describe('the rate limit that a server states', () => {
	it('is logged when it begins, changes and ends', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		const logged = [undefined, 20, 20, 10, undefined, undefined].map(
			(requestsPerSecond) => {
				session.wait(500);
				const {id} = session.send();
				return listLoggedLimits(
					answerWithLimit(session, id, requestsPerSecond),
				);
			},
		);
		expect(logged).toEqual([[], [20], [], [10], ['none'], []]);
	});

	it('is not ended by the answer to a request that was sent before it was stated', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		const early = session.send();
		const {id} = session.send();
		session.wait(50);
		answerWithLimit(session, id, 20);
		session.wait(50);
		const effects = answerWithLimit(session, early.id, undefined);
		expect(listLoggedLimits(effects)).toEqual([]);
	});
});
