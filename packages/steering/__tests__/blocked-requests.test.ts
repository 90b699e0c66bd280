import {describe, it} from 'node:test';
import {ErrorKind} from '@parsleyvale/shared';
import {expect} from 'earl';
import {createRequestIdentity} from '../src/crashes/crash-guard.js';
import {
	createConfiguration,
	createCustomer,
	createRoute,
} from './support/configuration.js';
import {
	createDigest,
	createServer,
	KernelSession,
	listDecisions,
} from './support/kernel-session.js';

const serverIds = ['a', 'b', 'c', 'd', 'e'];
const fingerprint = 'deadly';
const identity = createRequestIdentity(fingerprint, 'school');

function startSession({
	maximumAttempts = 4,
	burst = 0,
	slots = 10,
	latencyObjectiveMs = 600,
} = {}) {
	const session = new KernelSession();
	const configuration = createConfiguration({
		routes: [
			createRoute({
				maximumAttempts,
				timeoutMs: 20_000,
				latencyObjectiveMs,
			}),
		],
		customers: [createCustomer({ratePerSecond: burst, burst})],
	});
	const servers = serverIds.map((id) => createServer({id, slots}));
	session.start(servers, configuration);
	return session;
}

/** Ends an attempt by a connection that its server closed. */
function lose(session: KernelSession, id: string, attempt: number): string[] {
	const effects = session.endAttempt(id, attempt, {
		outcome: 'unknown',
		status: undefined,
		wasConnectionLost: true,
	});
	return listDecisions(effects);
}

/** Reports from another host that servers crashed under the request. */
function reportCrashes(session: KernelSession, count = 3): void {
	const digest = createDigest({
		crashes: Array.from({length: count}, (_, server) => [identity, server, 0]),
	});
	session.handle({type: 'digest-received', digest});
}

describe('a request whose servers close its connections', () => {
	it('is sent to two servers in a row, not to a third', () => {
		const session = startSession();
		const {id} = session.send({fingerprint});
		expect(lose(session, id, 1)[0]).toEqual(expect.regex(/^forward /));
		expect(lose(session, id, 2)).toEqual(['refuse outcome-unknown']);
	});

	it('is refused as not run after the third, with the time until the block ends', () => {
		const session = startSession();
		const first = session.send({fingerprint});
		lose(session, first.id, 1);
		lose(session, first.id, 2);
		const second = session.send({fingerprint});
		lose(session, second.id, 1);
		const refusal = session
			.send({fingerprint})
			.effects.find((effect) => effect.type === 'refuse');
		expect(refusal!.kind).toEqual(ErrorKind.RequestBlocked);
		expect(refusal!.retryAfter).toEqual(30_000);
		const other = session.send({fingerprint: 'other'});
		expect(listDecisions(other.effects)[0]).toEqual(expect.regex(/^forward /));
	});

	it('is refused while it waits if another host reports the crashes', () => {
		const session = startSession({slots: 1, latencyObjectiveMs: 10_000});
		// Fills all servers, so that the last request waits.
		const send = () =>
			listDecisions(session.send({fingerprint, timeLeft: 20_000}).effects);
		let decisions = send();
		while (decisions[0]?.startsWith('forward')) {
			decisions = send();
		}

		expect(decisions).toEqual([]);
		reportCrashes(session);
		expect(listDecisions(session.wait(50))).toEqual(['refuse request-blocked']);
	});

	it('takes none of its customer’s rate while it is blocked', () => {
		const session = startSession({burst: 3});
		reportCrashes(session);
		for (let count = 0; count < 20; count++) {
			session.send({fingerprint});
		}

		const {effects} = session.send({fingerprint: 'other'});
		expect(listDecisions(effects)[0]).toEqual(expect.regex(/^forward /));
	});

	it('is cleared when a server answers it', () => {
		const session = startSession({maximumAttempts: 1});
		for (let count = 0; count < 3; count++) {
			const lost = session.send({fingerprint});
			lose(session, lost.id, 1);
			const answered = session.send({fingerprint});
			session.endAttempt(answered.id, 1);
		}

		const {effects} = session.send({fingerprint});
		expect(listDecisions(effects)[0]).toEqual(expect.regex(/^forward /));
	});

	it('is cleared when one of the servers responds to another request', () => {
		const session = startSession({maximumAttempts: 1});
		session.listServers([createServer({id: 'a', slots: 10})], 2);
		reportCrashes(session, 2);
		const lost = session.send({fingerprint});
		const other = session.send({fingerprint: 'other'});
		lose(session, lost.id, 1);
		expect(listDecisions(session.send({fingerprint}).effects)).toEqual([
			'refuse request-blocked',
		]);
		session.clock.advance(200);
		session.endAttempt(other.id, 1);
		expect(listDecisions(session.send({fingerprint}).effects)).toEqual([
			'forward a',
		]);
	});
});
