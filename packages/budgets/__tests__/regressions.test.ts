import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runSession} from './run-session.js';
import {Simulation, count, rate} from './simulation.js';

function sumUnits(simulation: Simulation): number {
	let units = 0;
	for (const host of simulation.hosts) {
		const clock = simulation.toClock(host);
		const holding = host.budgets.holdings.findBudget(rate.id)!;
		units += host.isAlive ? holding.getHeldUnits(clock) : 0;
	}

	return units;
}

describe('regressions of budgets', () => {
	// Minimised from a failure with seed 2: the tokens of a share with 0 units
	// were computed as 0 / 0.
	it('hand over the share of a suspended host without tokens', () => {
		const overrun = runSession({
			size: 3,
			seed: 0,
			commands: [
				{do: 'stop', host: 0},
				{do: 'freeze', host: 0},
				{do: 'drain', span: 1801},
				{do: 'wake', host: 0},
				{do: 'drain', span: 100},
				{do: 'take', host: 0, amount: 1},
			],
		});
		expect(overrun).toEqual(undefined);
	});

	// A process that had never read the ledger gave up its root shares.
	it('keep every share while all hosts are replaced during a store outage', () => {
		const simulation = new Simulation(3, 4, {});
		simulation.run(5000);
		const before = sumUnits(simulation);
		simulation.store.mode = 'down';
		for (const index of simulation.hosts.keys()) {
			const host = simulation.hosts[index]!;
			simulation.handle(host, {type: 'intake-closed'});
			simulation.run(3000);
			expect(host.kernel.isBusy(simulation.toClock(host))).toEqual(false);
			simulation.restart(index);
			simulation.run(2000);
		}

		expect(sumUnits(simulation)).toEqual(before);
	});

	// A write needs a recent answer of the store, but no read was sent to get
	// one.
	it('take over the share of a killed host within 3 s while the store is idle', () => {
		const simulation = new Simulation(3, 5, {});
		simulation.run(20_000);
		const before = sumUnits(simulation);
		simulation.hosts[1]!.isAlive = false;
		simulation.run(3000);
		expect(sumUnits(simulation)).toEqual(before);
	});

	// The guarantor was in another region, did not watch the ledger and never
	// sent a promise, so the share was lost in an outage of the store.
	it('keep and lend the slots of a region with one entry host', () => {
		const simulation = new Simulation(2, 6, {}, ['tpe', 'sin']);
		simulation.run(5000);
		const [loneHost, otherHost] = simulation.hosts;
		const {budgets} = loneHost!;
		expect(
			budgets.getAvailable(count.id, simulation.toClock(loneHost!)),
		).toEqual(count.total);
		const wants = {type: 'room-changed', pool: 'p'} as const;
		otherHost!.callbacks.push((context) => {
			otherHost!.budgets.requestLoan(count.id, 1, context);
		});
		simulation.handle(otherHost!, wants);
		simulation.run(3000);
		const lent = otherHost!.budgets.getAvailable(
			count.id,
			simulation.toClock(otherHost!),
		);
		expect(lent).toBeGreaterThan(0);
		expect(
			budgets.getAvailable(count.id, simulation.toClock(loneHost!)),
		).toEqual(count.total - lent);
	});
});
