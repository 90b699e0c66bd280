import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfiguration, createRoute} from './support/configuration.js';
import {
	createServer,
	KernelSession,
	listDecisions,
} from './support/kernel-session.js';

function startSession({stopTimeout = 6000} = {}): KernelSession {
	const session = new KernelSession({stopTimeout});
	session.start(
		[createServer({})],
		createConfiguration({routes: [createRoute({timeoutMs: 60_000})]}),
	);
	return session;
}

describe('a stopping host', () => {
	it('accepts requests until look-up answers that name it have expired, and refuses them after that', () => {
		const session = startSession();
		session.handle({type: 'stop-requested'});
		session.wait(2500);
		const accepted = session.send();
		expect(listDecisions(accepted.effects)).toEqual(['forward server-1']);
		session.wait(50);
		const refused = session.send();
		expect(listDecisions(refused.effects)).toEqual(['refuse stopping']);
		const answered = session.endAttempt(accepted.id, 1);
		expect(listDecisions(answered)).toEqual(['deliver 1']);
	});

	it('answers a request that its server has not answered, before the stop timeout', () => {
		const session = startSession();
		const patient = {timeLeft: 60_000};
		session.send(patient);
		session.handle({type: 'stop-requested'});
		session.wait(1000);
		session.send(patient);
		const decisions = listDecisions(session.wait(4700));
		expect(decisions).toEqual([
			'cancel-attempt 1',
			'refuse deadline-exceeded',
			'cancel-attempt 1',
			'refuse deadline-exceeded',
		]);
	});

	it('sends a caller to another host if its request cannot end before the stop', () => {
		const session = startSession({stopTimeout: 2000});
		session.handle({type: 'stop-requested'});
		session.wait(500);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
		session.wait(500);
		expect(listDecisions(session.send().effects)).toEqual(['refuse stopping']);
	});
});
