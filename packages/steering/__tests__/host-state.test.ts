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
	it('are accepted until a withdrawal may have been missed', () => {
		const session = new KernelSession();
		session.start(servers);
		session.clock.advance(4800);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
		session.clock.advance(300);
		expect(listDecisions(session.send().effects)).toEqual([
			'refuse keys-not-fresh',
		]);
	});

	it('stay fresh when another host confirms the same version', () => {
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

	it('do not become fresh when another host confirms a different version', () => {
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

	it('are not fresh after the process was suspended', () => {
		const session = new KernelSession();
		session.start(servers);
		session.handle({type: 'suspended'});
		expect(listDecisions(session.send().effects)).toEqual([
			'refuse keys-not-fresh',
		]);
	});

	it('do not become fresh by a digest that waited while the process was frozen', () => {
		const session = new KernelSession();
		session.start(servers);
		session.clock.advance(4800);
		const digest = createDigest({configurationAgeMs: 500});
		session.handle({
			type: 'digest-received',
			digest,
			maximumQueueTime: 4000,
		});
		session.clock.advance(300);
		expect(listDecisions(session.send().effects)).toEqual([
			'refuse keys-not-fresh',
		]);
	});

	it('that are unknown are rejected as such only with a fresh configuration', () => {
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
	it('is never replaced by an older version', () => {
		const session = new KernelSession();
		session.start(servers, createConfiguration({version: 7}));
		session.handle({
			type: 'configuration-read',
			configuration: createConfiguration({version: 6, routes: []}),
			confirmationAge: 0,
		});
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
	});

	it('that is newer on another host is fetched from it', () => {
		const session = new KernelSession();
		session.start(servers);
		session.handle({
			type: 'digest-received',
			digest: createDigest({configurationVersion: 2}),
		});
		const fetches = session.takeEffects('fetch-copy', {type: 'tick'});
		expect(fetches.map(({name}) => name)).toEqual(['host-2']);
	});

	it('is required: a host without one refuses requests as not configured', () => {
		const session = new KernelSession();
		expect(listDecisions(session.send().effects)).toEqual([
			'refuse not-configured',
		]);
	});
});

describe('servers', () => {
	it('that drain, or whose failure domain is evacuated, get no more requests', () => {
		const session = new KernelSession();
		session.start([createServer({}), createServer({id: 'server-2'})]);
		session.listServers(
			[createServer({isDraining: true}), createServer({id: 'server-2'})],
			2,
		);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-2']);
		session.handle({
			type: 'fleet-listed',
			position: {era: 1, revision: 3},
			servers: [createServer({id: 'server-2'})],
			evacuationsPosition: {era: 1, revision: 3},
			evacuated: ['east-a'],
		});
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('drain even if the evacuated failure domains had a newer revision before', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.handle({
			type: 'fleet-listed',
			position: {era: 1, revision: 1},
			servers: [createServer({})],
			evacuationsPosition: {era: 1, revision: 9},
			evacuated: [],
		});
		session.listServers([createServer({isDraining: true})], 5);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('are fetched when either revision is newer on another host', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.listServers([createServer({})], 5);
		// An active host fetches at once.
		session.send();
		session.send();
		const position = {era: 1, revision: 6};
		for (const newer of [
			{fleetPosition: position},
			{evacuationsPosition: position},
		]) {
			const digest = createDigest({
				...newer,
				sequence: session.clock.now() + 1,
			});
			session.handle({type: 'digest-received', digest});
			session.clock.advance(200);
			expect(session.takeEffects('fetch-copy', {type: 'tick'}).length).toEqual(
				1,
			);
		}
	});

	it('that change repeatedly are fetched less often by an idle host', () => {
		const countFetches = (isActive: boolean): number => {
			const session = new KernelSession();
			session.start([createServer({slots: 1000})]);
			let fetches = 0;
			for (let round = 1; round <= 20; round++) {
				const digest = createDigest({
					sequence: round,
					fleetPosition: {era: 1, revision: round + 1},
					requestsPerSecond: 5,
				});
				session.handle({type: 'digest-received', digest});
				for (let sent = 0; sent < (isActive ? 5 : 0); sent++) {
					session.send();
				}

				const fetched = session
					.wait(100)
					.filter(({type}) => type === 'fetch-copy');
				if (fetched.length > 0) {
					session.listServers([createServer({slots: 1000})], round + 1);
				}

				fetches += fetched.length;
			}

			return fetches;
		};

		expect(countFetches(false)).toBeLessThanOrEqual(3);
		expect(countFetches(true)).toBeGreaterThanOrEqual(10);
	});

	it('are fetched from another host soon if the first one does not answer', () => {
		const session = new KernelSession({random: () => 0});
		session.start([createServer({})]);
		for (const name of ['silent', 'other']) {
			const digest = createDigest({
				name,
				fleetPosition: {era: 1, revision: 5},
			});
			session.handle({type: 'digest-received', digest});
		}

		const listFetched = (duration: number) =>
			session
				.wait(duration)
				.flatMap((effect) =>
					effect.type === 'fetch-copy' ? [effect.name] : [],
				);
		const [first] = listFetched(100);
		const [second] = listFetched(400);
		expect(new Set([first, second])).toEqual(new Set(['silent', 'other']));
	});

	it('are fetched from a host in the same failure domain if possible', () => {
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
				fleetPosition: {era: 1, revision: 5},
			});
			session.handle({type: 'digest-received', digest});
		}

		session.clock.advance(800);
		const [fetched] = session.takeEffects('fetch-copy', {type: 'tick'});
		expect(fetched!.name).toEqual('nearest');
	});

	it('are not replaced by an older list', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.listServers([createServer({isDraining: true})], 5);
		session.listServers([createServer({})], 4);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('are replaced by a list with a lower revision after the store returned from an older copy', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.listServers([createServer({})], 90);
		session.listServers([createServer({isDraining: true})], 5, 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
		session.listServers([createServer({id: 'server-2'})], 91);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('are fetched from a host that read them after the store returned from an older copy', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.listServers([createServer({})], 90);
		const position = {era: 2, revision: 5};
		const digest = createDigest({fleetPosition: position});
		session.handle({type: 'digest-received', digest});
		session.clock.advance(800);
		expect(session.takeEffects('fetch-copy', {type: 'tick'}).length).toEqual(1);
	});

	it('that are missing in an older copy of the store are kept until they had time to reappear', () => {
		const session = new KernelSession();
		session.start([createServer({slots: 100})]);
		session.listServers([], 1, 2);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
		session.wait(2500);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that drain keep draining if an older copy of the store says otherwise', () => {
		const session = new KernelSession();
		session.start([createServer({isDraining: true})]);
		session.listServers([createServer({})], 1, 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
		session.listServers([createServer({incarnation: '2'})], 2, 2);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
	});

	it('whose entries expired in a store outage are kept until they had time to reappear', () => {
		const session = new KernelSession();
		session.start([createServer({slots: 100})]);
		session.handle({type: 'store-answered', heldDuration: 0});
		session.wait(4000);
		session.handle({type: 'store-failed', reason: 'timeout'});
		session.handle({type: 'store-answered', heldDuration: 0});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
		session.handle({
			type: 'configuration-confirmed',
			version: 1,
			confirmationAge: 0,
		});
		session.wait(2500);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that are kept after a store outage are logged with the time since its end', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		const digest = createDigest({storeRegainedAgoMs: 300});
		session.handle({type: 'digest-received', digest});
		const changes = [
			...session.listServers([], 2),
			...session.listServers([], 3),
		].flatMap((effect) =>
			effect.type === 'log' && effect.message === 'server changed'
				? [[effect.fields.change, effect.fields.storeRegainedAgoMs]]
				: [],
		);
		expect(changes).toEqual([['missing', 300]]);
	});

	it('that leave after a single failed store call are removed at once', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.handle({type: 'store-answered', heldDuration: 0});
		session.wait(1000);
		session.handle({type: 'store-failed', reason: 'ECONNRESET'});
		session.wait(200);
		session.handle({type: 'store-answered', heldDuration: 0});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that leave after a poll that the store held for seconds are removed at once', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.handle({type: 'store-answered', heldDuration: 0});
		session.wait(3200);
		session.handle({type: 'store-answered', heldDuration: 3000});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that leave while only this host was partitioned from the store are removed at once', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.handle({type: 'store-answered', heldDuration: 0});
		session.wait(4000);
		session.handle({type: 'store-failed', reason: 'timeout'});
		session.handle({type: 'store-answered', heldDuration: 0});
		session.handle({type: 'digest-received', digest: createDigest({})});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('whose entries expired in a store outage are kept by hosts that do not read from the store', () => {
		const session = new KernelSession();
		session.start([createServer({slots: 100})]);
		const digest = createDigest({storeRegainedAgoMs: 300});
		session.handle({type: 'digest-received', digest});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['forward server-1']);
		session.wait(2200);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that leave while only other hosts were turned away by the store are removed at once', () => {
		const session = new KernelSession();
		session.start([createServer({slots: 100})]);
		for (let round = 0; round < 12; round++) {
			session.handle({type: 'store-answered', heldDuration: 0});
			session.wait(500);
		}

		const digest = createDigest({storeRegainedAgoMs: 300});
		session.handle({type: 'digest-received', digest});
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
		const reported = session
			.wait(1000)
			.flatMap((effect) =>
				effect.type === 'send-digest' ? [effect.digest.storeRegainedAgoMs] : [],
			);
		expect(new Set(reported)).toEqual(new Set([null]));
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

	it('that leave while the store is available are removed at once', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		session.listServers([], 2);
		expect(listDecisions(session.send().effects)).toEqual(['refuse no-server']);
	});

	it('that fail twice in a row are ejected temporarily', () => {
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

	it('returns only live hosts in the region of the caller', () => {
		const session = new KernelSession();
		session.start(servers);
		session.handle({type: 'digest-received', digest: createDigest({})});
		const remoteDigest = createDigest({
			name: 'host-3',
			region: 'west',
			callers: '127.0.0.3:1',
		});
		session.handle({type: 'digest-received', digest: remoteDigest});
		const [answer] = session.takeEffects('answer-look-up', lookUp);
		expect(answer!.callers).toEqual(['127.0.0.1:1', '127.0.0.2:1']);
	});

	it('returns the hosts with the most capacity, and at least two', () => {
		const session = new KernelSession();
		session.start(servers);
		const announceHost = (name: string, capacity: number, sequence = 1) => {
			const callers = `${name}:1`;
			const digest = createDigest({name, callers, capacity, sequence});
			session.handle({type: 'digest-received', digest});
		};

		announceHost('large-1', 5);
		const [oneLarge] = session.takeEffects('answer-look-up', lookUp);
		expect(oneLarge!.callers).toEqual(['large-1:1', '127.0.0.1:1']);
		announceHost('large-2', 4.8);
		announceHost('small', 1);
		const [twoLarge] = session.takeEffects('answer-look-up', lookUp);
		expect(twoLarge!.callers).toEqual(['large-1:1', 'large-2:1']);
	});

	it('omits hosts that are silent, not ready, or stopping', () => {
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

	it('keeps a live host although its entry in the store is outdated', () => {
		const session = new KernelSession();
		session.start(servers);
		session.handle({type: 'digest-received', digest: createDigest({})});
		const old = createHost({name: 'host-2', incarnation: 'host-2/0'});
		session.handle({type: 'hosts-listed', hosts: [old]});
		const [answer] = session.takeEffects('answer-look-up', lookUp);
		expect(answer!.callers).toEqual(['127.0.0.1:1', '127.0.0.2:1']);
	});
});
