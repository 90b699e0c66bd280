import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createHost,
	createServer,
	KernelSession,
} from './support/kernel-session.js';

const self = createHost({});
const servers = [createServer({})];

function startSession(): KernelSession {
	const session = new KernelSession();
	session.start(servers);
	session.handle({type: 'host-entry-written', era: 1});
	return session;
}

function countWrites(session: KernelSession): number {
	return session.wait(1000).filter(({type}) => type === 'write-host-entry')
		.length;
}

describe("a host's entry", () => {
	it('is written again once after the store returned from an older copy', () => {
		const session = startSession();
		expect(countWrites(session)).toEqual(0);
		session.listServers(servers, 1, 2);
		expect(countWrites(session)).toEqual(1);
		session.handle({type: 'host-entry-written', era: 2});
		expect(countWrites(session)).toEqual(0);
	});

	it('is written again if the store returned once more before it was written', () => {
		const session = startSession();
		session.listServers(servers, 1, 2);
		expect(countWrites(session)).toEqual(1);
		session.listServers(servers, 1, 3);
		expect(countWrites(session)).toEqual(0);
		session.handle({type: 'host-entry-written', era: 2});
		expect(countWrites(session)).toEqual(1);
	});

	it('is written again if it is missing, or another incarnation overwrote it late', () => {
		const session = startSession();
		for (const hosts of [[], [{...self, incarnation: 'before'}]]) {
			session.handle({type: 'hosts-listed', hosts});
			expect(countWrites(session)).toEqual(1);
			session.handle({type: 'host-entry-written', era: 1});
			session.handle({type: 'hosts-listed', hosts: [self]});
			expect(countWrites(session)).toEqual(0);
		}
	});

	it('is not written again by a host that stops', () => {
		const session = startSession();
		session.handle({type: 'stop-requested'});
		session.listServers(servers, 1, 2);
		expect(countWrites(session)).toEqual(0);
	});
});
