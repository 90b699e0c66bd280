import {describe, it} from 'node:test';
import {expect} from 'earl';
import {World, count, rate} from './world.js';

describe('budgets', () => {
	it('share a rate and a count over hosts', () => {
		const world = new World(3, 1, {});
		world.run(4000);
		const before = world.hosts.map((host) => ({
			tokens: host.budgets.getAvailable(rate.id, world.toClock(host)),
			slots: host.budgets.getAvailable(count.id, world.toClock(host)),
		}));
		const sum = (key: 'tokens' | 'slots') =>
			before.reduce((total, each) => total + each[key], 0);
		expect(before.map((each) => each.tokens > 0)).toEqual([true, true, true]);
		// Each host has the fraction of a token that its share leaves over.
		const largestRemainder = world.hosts.length - 1;
		expect(sum('tokens') >= rate.burst - largestRemainder).toEqual(true);
		expect(sum('slots')).toEqual(count.total);
	});

	it('lend a whole burst to the host that wants it', () => {
		const world = new World(3, 2, {});
		world.run(4000);
		const host = world.hosts[2]!;
		let taken = 0;
		for (let round = 0; round < 8; round++) {
			taken += world.take(host, rate.burst - taken);
			world.want(host, rate.id, rate.burst - taken);
			world.run(40);
		}

		expect(taken).toEqual(rate.burst);
	});
});
