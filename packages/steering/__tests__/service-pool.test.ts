import {describe, it} from 'node:test';
import {expect} from 'earl';
import {CachedObjectIndex} from '../src/cached-object-index.js';
import {CacheSizeEstimator} from '../src/cache-size-estimator.js';
import {ServerState} from '../src/server-state.js';
import {ServicePool} from '../src/service-pool.js';
import {createServer} from './support/kernel-session.js';

const known = new CachedObjectIndex();

function createStates(count: number): ServerState[] {
	return Array.from({length: count}, (_, index) => {
		const region = ['east', 'west', 'north'][index % 3]!;
		const failureDomain = `${region}-a`;
		return new ServerState(
			createServer({id: `server-${index}`, region, failureDomain}),
			0,
			known,
			new CacheSizeEstimator(),
		);
	});
}

describe('the order of servers for an object', () => {
	it('holds few servers of each failure domain, however many there are', () => {
		const pool = new ServicePool();
		pool.set(createStates(342));
		expect(pool.rank(17).length).toEqual(12);
	});

	it('is the same on hosts that list the servers in another order', () => {
		const states = createStates(342);
		const [one, other] = [new ServicePool(), new ServicePool()];
		one.set(states);
		other.set([...states].reverse());
		const toIds = (pool: ServicePool, object: number) =>
			pool.rank(object).map(({server}) => server.id);
		for (let object = 0; object < 50; object++) {
			expect(toIds(one, object)).toEqual(toIds(other, object));
		}
	});

	it('changes its first server only for objects of a server that left', () => {
		const states = createStates(60);
		const [before, after] = [new ServicePool(), new ServicePool()];
		before.set(states);
		after.set(states.slice(1));
		for (let object = 0; object < 500; object++) {
			const first = before.rank(object)[0]!;
			if (first !== states[0]) {
				expect(after.rank(object)[0]).toEqual(first);
			}
		}
	});

	it('gives each server about as many objects to come first for', () => {
		const states = createStates(60);
		const pool = new ServicePool();
		pool.set(states);
		const counts = new Map<string, number>();
		for (let object = 0; object < 6000; object++) {
			const {id} = pool.rank(object)[0]!.server;
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		// A mean of 100, and four standard deviations.
		expect(Math.max(...counts.values())).toBeLessThanOrEqual(140);
		expect(Math.min(...counts.values())).toBeGreaterThanOrEqual(60);
	});
});

describe('what servers have at hand', () => {
	it('forgets a server that left', () => {
		const objects = new CachedObjectIndex();
		const state = new ServerState(
			createServer({}),
			0,
			objects,
			new CacheSizeEstimator(),
		);
		state.onHandled(5);
		expect([...objects.list(5)]).toEqual([state]);
		state.onLeft();
		expect([...objects.list(5)]).toEqual([]);
	});

	it('forgets the oldest of many objects', () => {
		const objects = new CachedObjectIndex();
		const state = new ServerState(
			createServer({}),
			0,
			objects,
			new CacheSizeEstimator(),
		);
		for (let object = 0; object < 100; object++) {
			state.onHandled(object);
		}

		expect([...objects.list(0)]).toEqual([]);
		expect([...objects.list(99)]).toEqual([state]);
	});
});
