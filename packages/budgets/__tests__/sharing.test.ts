import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Simulation, count, rate} from './simulation.js';

describe('budgets', () => {
	it('share a rate and a count among hosts', () => {
		const simulation = new Simulation(3, 1, {});
		simulation.run(4000);
		const before = simulation.hosts.map((host) => ({
			tokens: host.budgets.getAvailable(rate.id, simulation.toClock(host)),
			slots: host.budgets.getAvailable(count.id, simulation.toClock(host)),
		}));
		const sum = (key: 'tokens' | 'slots') =>
			before.reduce((total, each) => total + each[key], 0);
		expect(before.map((each) => each.tokens > 0)).toEqual([true, true, true]);
		// Each host may hold a fraction of a token that does not count as
		// available.
		const largestRemainder = simulation.hosts.length - 1;
		expect(sum('tokens') >= rate.burst - largestRemainder).toEqual(true);
		expect(sum('slots')).toEqual(count.total);
	});

	it('lend the whole burst to the host that requests it', () => {
		const simulation = new Simulation(3, 2, {});
		simulation.run(4000);
		const host = simulation.hosts[2]!;
		let taken = 0;
		for (let round = 0; round < 8; round++) {
			taken += simulation.take(host, rate.burst - taken);
			simulation.requestLoan(host, rate.id, rate.burst - taken);
			simulation.run(40);
		}

		expect(taken).toEqual(rate.burst);
	});
});
