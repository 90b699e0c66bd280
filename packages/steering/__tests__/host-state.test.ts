import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfiguration} from './support/configuration.js';
import {
	createDigest,
	createHost,
	createServer,
	KernelSession,
	listDecisions,
} from './support/kernel-session.js';

const servers = [createServer({slots: 100})];

describe('keys', () => {
	it('are taken for as long as a withdrawal may be unknown', () => {
		const session = new KernelSession();
		session.start(servers);
		session.clock.advance(4800);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
		session.clock.advance(300);
		expect(listDecisions(session.send().effects)).toEqual([
			'refuse keys-not-fresh',
		]);
	});

	it('stay fresh by what another host says of the same version', () => {
		const session = new KernelSession();
		session.start(servers);
		session.clock.advance(4800);
		session.handle({
			type: 'digest-received',
			digest: createDigest({configurationAgeMs: 1000}),
		});
		session.clock.advance(3000);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
	});

	it('do not become fresh by what is said of another version', () => {
		const session = new KernelSession();
		session.start(servers);
		session.clock.advance(4800);
		session.handle({
			type: 'digest-received',
			digest: createDigest({configurationVersion: 2, configurationAgeMs: 0}),
		});
		session.clock.advance(300);
		expect(listDecisions(session.send().effects)).toEqual([
			'refuse keys-not-fresh',
		]);
	});

	it('are not fresh after the process stood still', () => {
		const session = new KernelSession();
		session.start(servers);
		session.handle({type: 'suspended'});
		expect(listDecisions(session.send().effects)).toEqual([
			'refuse keys-not-fresh',
		]);
	});

	it('that are unknown are refused for good only by a fresh configuration', () => {
		const session = new KernelSession();
		session.start(servers);
		const fresh = session.send({keyHash: 'other'});
		expect(listDecisions(fresh.effects)).toEqual(['refuse key-unknown']);
		session.clock.advance(6000);
		const old = session.send({keyHash: 'other'});
		expect(listDecisions(old.effects)).toEqual(['refuse keys-not-fresh']);
	});
});

describe('a configuration', () => {
	it('never goes back to an older version', () => {
		const session = new KernelSession();
		session.start(servers, createConfiguration({version: 7}));
		session.handle({
			type: 'configuration-read',
			configuration: createConfiguration({version: 6, routes: []}),
			age: 0,
		});
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
	});

	it('that another host has and the store does not tell is fetched', () => {
		const session = new KernelSession();
		session.start(servers);
		session.handle({
			type: 'digest-received',
			digest: createDigest({configurationVersion: 2}),
		});
		const fetches = session.takeEffects('fetch-copy', {type: 'tick'});
		expect(fetches.map(({name}) => name)).toEqual(['host-2']);
	});

	it('is unknown to a host that has heard nothing: it refuses as not run', () => {
		const session = new KernelSession();
		expect(listDecisions(session.send().effects)).toEqual([
			'refuse not-configured',
		]);
	});
});

describe('servers', () => {
	it('that drain, or whose failure domain is evacuated, get nothing more', () => {
		const session = new KernelSession();
		session.start([createServer({}), createServer({id: 'server-2'})]);
		session.listServers(
			[createServer({isDraining: true}), createServer({id: 'server-2'})],
			2,
		);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-2']);
		session.handle({
			type: 'fleet-listed',
			revision: 3,
			servers: [createServer({id: 'server-2'})],
			evacuationsRevision: 3,
			evacuated: ['east-a'],
		});
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('drain though a list of failure domains was newer before', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.handle({
			type: 'fleet-listed',
			revision: 1,
			servers: [createServer({})],
			evacuationsRevision: 9,
			evacuated: [],
		});
		session.listServers([createServer({isDraining: true})], 5);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that changed elsewhere are fetched, whatever is newer here', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.listServers([createServer({})], 5);
		// A host with requests asks at once.
		session.send();
		session.send();
		for (const newer of [{fleetRevision: 6}, {evacuationsRevision: 6}]) {
			const digest = createDigest({
				...newer,
				sequence: session.clock.now() + 1,
			});
			session.handle({type: 'digest-received', digest});
			session.clock.advance(200);
			expect(session.takeEffects('fetch-copy', {type: 'tick'}).length).toEqual(1);
		}
	});

	it('that change again and again are fetched less often by an idle host', () => {
		const countFetches = (isBusy: boolean): number => {
			const session = new KernelSession();
			session.start([createServer({slots: 1000})]);
			let fetches = 0;
			for (let round = 1; round <= 20; round++) {
				const digest = createDigest({
					sequence: round,
					fleetRevision: round + 1,
					requestsPerSecond: 5,
				});
				session.handle({type: 'digest-received', digest});
				for (let sent = 0; sent < (isBusy ? 5 : 0); sent++) {
					session.send();
				}

				fetches += session
					.wait(100)
					.filter(({type}) => type === 'fetch-copy').length;
			}

			return fetches;
		};

		expect(countFetches(false)).toBeLessThanOrEqual(3);
		expect(countFetches(true)).toBeGreaterThanOrEqual(10);
	});

	it('are fetched from a host of the same failure domain where one has them', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		for (const [name, failureDomain] of [
			['near', 'east-b'],
			['nearest', 'east-a'],
			['far', 'west-a'],
		] as const) {
			const region = failureDomain.split('-')[0]!;
			const digest = createDigest({
				name,
				failureDomain,
				region,
				fleetRevision: 5,
			});
			session.handle({type: 'digest-received', digest});
		}

		session.clock.advance(800);
		const [fetched] = session.takeEffects('fetch-copy', {type: 'tick'});
		expect(fetched!.name).toEqual('nearest');
	});

	it('are not taken from a list that is older', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.listServers([createServer({isDraining: true})], 5);
		session.listServers([createServer({})], 4);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('whose entries lapsed with the store are kept until they may be back', () => {
		const session = new KernelSession();
		session.start([createServer({slots: 100})]);
		session.handle({type: 'store-answered'});
		session.wait(4000);
		session.handle({type: 'store-failed', reason: 'timeout'});
		session.handle({type: 'store-answered'});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
		session.handle({
			type: 'configuration-confirmed',
			version: 1,
			age: 0,
		});
		session.wait(2500);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that leave after one failed call are gone at once', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.handle({type: 'store-answered'});
		session.wait(1000);
		session.handle({type: 'store-failed', reason: 'ECONNRESET'});
		session.wait(200);
		session.handle({type: 'store-answered'});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that leave while this host alone was cut from the store are gone at once', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.handle({type: 'store-answered'});
		session.wait(4000);
		session.handle({type: 'store-failed', reason: 'timeout'});
		session.handle({type: 'store-answered'});
		session.handle({type: 'digest-received', digest: createDigest({})});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('whose entries lapsed with the store are kept by hosts that learn from others', () => {
		const session = new KernelSession();
		session.start([createServer({slots: 100})]);
		const digest = createDigest({storeRegainedAgoMs: 300});
		session.handle({type: 'digest-received', digest});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
		session.wait(2200);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that left while a request ran there get no other for its object', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		const {id} = session.send({affinity: '7'});
		session.listServers([createServer({id: 'server-2'})], 2);
		session.endAttempt(id, 1, {outcome: 'answered', status: 200});
		session.send({affinity: '8'});
		expect(listDecisions(session.send({affinity: '7'}).effects)).toEqual([
			'forward server-2',
		]);
	});

	it('that leave while the store is well are gone at once', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that fail twice in a row get nothing for a while', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		for (let count = 0; count < 2; count++) {
			const {id} = session.send();
			session.endAttempt(id, 1, {outcome: 'not-sent', status: undefined});
		}

		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
		session.clock.advance(1100);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
	});
});

describe('a look-up', () => {
	const lookUp = {
		type: 'look-up-arrived',
		lookUpId: '1',
		region: 'east',
		failureDomain: 'east-a',
	} as const;

	it('names live hosts of the region of the caller alone', () => {
		const session = new KernelSession();
		session.start(servers);
		session.handle({type: 'digest-received', digest: createDigest({})});
		const elsewhere = createDigest({
			name: 'host-3',
			region: 'west',
			callers: '127.0.0.3:1',
		});
		session.handle({type: 'digest-received', digest: elsewhere});
		const [answer] = session.takeEffects('answer-look-up', lookUp);
		expect(answer!.callers).toEqual(['127.0.0.1:1', '127.0.0.2:1']);
	});

	it('names the hosts with large processors, and at least two', () => {
		const session = new KernelSession();
		session.start(servers);
		const tell = (name: string, capacity: number, sequence = 1) => {
			const callers = `${name}:1`;
			const digest = createDigest({name, callers, capacity, sequence});
			session.handle({type: 'digest-received', digest});
		};

		tell('large-1', 5);
		const [oneLarge] = session.takeEffects('answer-look-up', lookUp);
		expect(oneLarge!.callers).toEqual(['large-1:1', '127.0.0.1:1']);
		tell('large-2', 4.8);
		tell('small', 1);
		const [twoLarge] = session.takeEffects('answer-look-up', lookUp);
		expect(twoLarge!.callers).toEqual(['large-1:1', 'large-2:1']);
	});

	it('leaves out hosts that are silent, not ready, or stopping', () => {
		const session = new KernelSession();
		session.start(servers);
		session.handle({type: 'digest-received', digest: createDigest({})});
		session.clock.advance(2000);
		const unready = createDigest({
			name: 'host-3',
			callers: '127.0.0.3:1',
			isReady: false,
		});
		session.handle({type: 'digest-received', digest: unready});
		const [before] = session.takeEffects('answer-look-up', lookUp);
		expect(before!.callers).toEqual(['127.0.0.1:1']);
		session.handle({type: 'stop-requested'});
		const [after] = session.takeEffects('answer-look-up', lookUp);
		expect(after!.callers).toEqual([]);
	});

	it('does not take an old entry in the store for a host that speaks itself', () => {
		const session = new KernelSession();
		session.start(servers);
		session.handle({type: 'digest-received', digest: createDigest({})});
		const old = createHost({name: 'host-2', incarnation: 'host-2/0'});
		session.handle({type: 'hosts-listed', hosts: [old]});
		const [answer] = session.takeEffects('answer-look-up', lookUp);
		expect(answer!.callers).toEqual(['127.0.0.1:1', '127.0.0.2:1']);
	});
});
