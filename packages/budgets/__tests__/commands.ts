import * as fc from 'fast-check';
import {minute, type Milliseconds} from '@parsleyvale/shared';
import type {StoreMode} from './fake-store.js';
import {
	type Simulation,
	count,
	reliableNetwork,
	rate,
	slowRate,
	type Host,
	type NetworkConditions,
} from './simulation.js';

/**
 * One step of a fuzzed session. Host indices are taken modulo the number of
 * hosts.
 */
export type Command =
	| {readonly do: 'run'; readonly span: Milliseconds}
	| {
			readonly do: 'drain';
			readonly span: Milliseconds;
			readonly isQuiet?: boolean;
	  }
	| {
			readonly do: 'take' | 'occupy' | 'want' | 'want-slot' | 'undo';
			readonly host: number;
			readonly amount: number;
	  }
	| {
			readonly do:
				| 'kill'
				| 'restart'
				| 'freeze'
				| 'wake'
				| 'stop'
				| 'halve'
				| 'restore'
				| 'redefine';
			readonly host: number;
	  }
	| {readonly do: 'store'; readonly mode: StoreMode}
	| {readonly do: 'weather'; readonly conditions: NetworkConditions}
	| {
			readonly do: 'cut';
			readonly left: number;
			readonly right: number;
			readonly isCut: boolean;
	  }
	| {readonly do: 'sleep'; readonly span: Milliseconds};

const host = fc.nat(4);
const storeModes: readonly StoreMode[] = [
	'up',
	'up',
	'down',
	'silent',
	'applying',
	'dropping',
	'stale',
];

const runStep = fc.record({
	do: fc.constant('run' as const),
	span: fc.integer({min: 1, max: 4000}),
});

const drainStep = fc.record({
	do: fc.constant('drain' as const),
	span: fc.integer({min: 100, max: 4000}),
});

const usageStep = fc.record({
	do: fc.constantFrom('take', 'occupy', 'want', 'want-slot', 'undo'),
	host,
	amount: fc.integer({min: 1, max: 200}),
});

const processStep = fc.record({
	do: fc.constantFrom('kill', 'restart', 'freeze', 'wake', 'stop', 'freeze'),
	host,
});

const storeStep = fc.record({
	do: fc.constant('store' as const),
	mode: fc.constantFrom(...storeModes),
});

const networkStep = fc.record({
	do: fc.constant('weather' as const),
	conditions: fc.oneof(
		fc.constant(reliableNetwork),
		fc.record({
			lossRate: fc.constantFrom(0, 0.2, 0.6),
			duplicateRate: fc.constantFrom(0, 0.5),
			maxMessageDelay: fc.constantFrom(10, 300, 3000),
		}),
	),
});

const partitionStep = fc.record({
	do: fc.constant('cut' as const),
	left: host,
	right: host,
	isCut: fc.boolean(),
});

const budgetStep = fc.record({
	do: fc.constantFrom('halve', 'restore', 'redefine'),
	host,
});

const sleepStep = fc.record({
	do: fc.constant('sleep' as const),
	span: fc.constantFrom(5000, 20_000, 16 * minute),
});

const anyStep: fc.Arbitrary<Command> = fc.oneof(
	{arbitrary: runStep, weight: 2},
	{arbitrary: drainStep, weight: 7},
	{arbitrary: usageStep, weight: 3},
	{arbitrary: processStep, weight: 5},
	{arbitrary: storeStep, weight: 2},
	{arbitrary: networkStep, weight: 2},
	{arbitrary: partitionStep, weight: 2},
	{arbitrary: budgetStep, weight: 2},
	{arbitrary: sleepStep, weight: 1},
);

/** Generates the number of hosts, a seed and a list of commands. */
export const session = fc.record({
	size: fc.integer({min: 3, max: 5}),
	seed: fc.nat(1_000_000),
	commands: fc.array(anyStep, {minLength: 4, maxLength: 24}),
});

export type Session = {
	readonly size: number;
	readonly seed: number;
	readonly commands: readonly Command[];
};

/**
 * Takes all that is available on every host for a time, with loan requests
 * unless quiet.
 */
function drainAll(
	simulation: Simulation,
	span: Milliseconds,
	isQuiet: boolean,
): void {
	const period: Milliseconds = 100;
	for (let elapsed = 0; elapsed < span; elapsed += period) {
		for (const each of simulation.hosts) {
			// A frozen host takes only when it wakes up.
			if (!each.isFrozen) {
				takeAll(simulation, each);
			}
		}

		if (!isQuiet) {
			requestLoans(simulation);
		}

		simulation.run(period);
	}
}

function requestLoans(simulation: Simulation): void {
	const index = Math.floor(simulation.random() * simulation.hosts.length);
	const host = simulation.hosts[index]!;
	simulation.requestLoan(host, rate.id, 30);
	simulation.requestLoan(host, slowRate.id, 10);
	simulation.requestLoan(host, count.id, 2);
}

function takeAll(simulation: Simulation, host: Host): void {
	simulation.take(host, rate.burst, rate.id);
	simulation.take(host, slowRate.burst, slowRate.id);
	simulation.takeSlots(host, count.total);
}

function runProcessCommand(
	simulation: Simulation,
	action: 'kill' | 'restart' | 'freeze' | 'wake' | 'stop',
	index: number,
): void {
	const each = simulation.hosts[index]!;
	if (action === 'kill') {
		each.isAlive = false;
	} else if (action === 'restart') {
		simulation.restart(index);
	} else if (action === 'stop' && each.isAlive && !each.isFrozen) {
		simulation.handle(each, {type: 'intake-closed'});
	} else if (action === 'freeze') {
		each.isFrozen = true;
	} else if (action === 'wake') {
		each.isFrozen = false;
		// A request arrives before any other event after the wake-up.
		takeAll(simulation, each);
	}
}

function runBudgetCommand(
	simulation: Simulation,
	action: 'halve' | 'restore' | 'redefine',
	index: number,
): void {
	const each = simulation.hosts[index]!;
	if (action === 'redefine') {
		simulation.redefine(each);
	} else {
		simulation.setHalved(each, action === 'halve');
	}
}

export function runCommand(simulation: Simulation, step: Command): void {
	const toIndex = (number: number) => number % simulation.hosts.length;
	if ('amount' in step) {
		runUsageCommand(simulation, step.do, toIndex(step.host), step.amount);
		return;
	}

	switch (step.do) {
		case 'run': {
			simulation.run(step.span);
			break;
		}

		case 'sleep': {
			simulation.run(step.span, Math.max(20, step.span / 200));
			break;
		}

		case 'drain': {
			drainAll(simulation, step.span, step.isQuiet ?? false);
			break;
		}

		case 'store': {
			simulation.store.mode = step.mode;
			break;
		}

		case 'weather': {
			simulation.network = step.conditions;
			break;
		}

		case 'cut': {
			simulation.setPartitioned(
				toIndex(step.left),
				toIndex(step.right),
				step.isCut,
			);
			break;
		}

		case 'halve':
		case 'restore':
		case 'redefine': {
			runBudgetCommand(simulation, step.do, toIndex(step.host));
			break;
		}

		case 'kill':
		case 'restart':
		case 'freeze':
		case 'wake':
		case 'stop': {
			runProcessCommand(simulation, step.do, toIndex(step.host));
			break;
		}
	}
}

function runUsageCommand(
	simulation: Simulation,
	action: 'take' | 'occupy' | 'want' | 'want-slot' | 'undo',
	index: number,
	amount: number,
): void {
	const each = simulation.hosts[index]!;
	if (each.isFrozen) {
		return;
	}

	switch (action) {
		case 'take': {
			simulation.take(each, amount);
			break;
		}

		case 'occupy': {
			simulation.takeSlots(each, amount);
			break;
		}

		case 'want': {
			simulation.requestLoan(each, rate.id, amount);
			break;
		}

		case 'want-slot': {
			simulation.requestLoan(each, count.id, amount);
			break;
		}

		case 'undo': {
			simulation.takeAndRefund(each, amount);
			break;
		}
	}
}
