import * as fc from 'fast-check';
import {minute, type Milliseconds} from '@parsleyvale/shared';
import type {StoreMode} from './fake-store.js';
import {
	type World,
	count,
	fairWeather,
	rate,
	slowRate,
	type Host,
	type Weather,
} from './world.js';

/** One step of a fuzzed session; hosts are indices, modulo their number. */
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
	| {readonly do: 'weather'; readonly weather: Weather}
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

const run = fc.record({
	do: fc.constant('run' as const),
	span: fc.integer({min: 1, max: 4000}),
});

const drain = fc.record({
	do: fc.constant('drain' as const),
	span: fc.integer({min: 100, max: 4000}),
});

const use = fc.record({
	do: fc.constantFrom('take', 'occupy', 'want', 'want-slot', 'undo'),
	host,
	amount: fc.integer({min: 1, max: 200}),
});

const process = fc.record({
	do: fc.constantFrom('kill', 'restart', 'freeze', 'wake', 'stop', 'freeze'),
	host,
});

const store = fc.record({
	do: fc.constant('store' as const),
	mode: fc.constantFrom(...storeModes),
});

const weather = fc.record({
	do: fc.constant('weather' as const),
	weather: fc.oneof(
		fc.constant(fairWeather),
		fc.record({
			loss: fc.constantFrom(0, 0.2, 0.6),
			repeat: fc.constantFrom(0, 0.5),
			longestDelay: fc.constantFrom(10, 300, 3000),
		}),
	),
});

const cut = fc.record({
	do: fc.constant('cut' as const),
	left: host,
	right: host,
	isCut: fc.boolean(),
});

const change = fc.record({
	do: fc.constantFrom('halve', 'restore', 'redefine'),
	host,
});

const sleep = fc.record({
	do: fc.constant('sleep' as const),
	span: fc.constantFrom(5000, 20_000, 16 * minute),
});

const command: fc.Arbitrary<Command> = fc.oneof(
	{arbitrary: run, weight: 2},
	{arbitrary: drain, weight: 7},
	{arbitrary: use, weight: 3},
	{arbitrary: process, weight: 5},
	{arbitrary: store, weight: 2},
	{arbitrary: weather, weight: 2},
	{arbitrary: cut, weight: 2},
	{arbitrary: change, weight: 2},
	{arbitrary: sleep, weight: 1},
);

/** A number of hosts, a seed for delays, and what happens to them. */
export const session = fc.record({
	size: fc.integer({min: 3, max: 5}),
	seed: fc.nat(1_000_000),
	commands: fc.array(command, {minLength: 4, maxLength: 24}),
});

export type Session = {
	readonly size: number;
	readonly seed: number;
	readonly commands: readonly Command[];
};

/** Every live host, frozen ones too, takes all it can for a while. */
function drainAll(world: World, span: Milliseconds, isQuiet: boolean): void {
	const period: Milliseconds = 100;
	for (let passed = 0; passed < span; passed += period) {
		for (const each of world.hosts) {
			// A host that is frozen takes only in the moment it wakes.
			if (!each.isFrozen) {
				takeAll(world, each);
			}
		}

		if (!isQuiet) {
			askForLoans(world);
		}

		world.run(period);
	}
}

function askForLoans(world: World): void {
	const index = Math.floor(world.sample() * world.hosts.length);
	const host = world.hosts[index]!;
	world.want(host, rate.id, 30);
	world.want(host, slowRate.id, 10);
	world.want(host, count.id, 2);
}

function takeAll(world: World, host: Host): void {
	world.take(host, rate.burst, rate.id);
	world.take(host, slowRate.burst, slowRate.id);
	world.occupy(host, count.total);
}

function runProcessCommand(
	world: World,
	action: 'kill' | 'restart' | 'freeze' | 'wake' | 'stop',
	index: number,
): void {
	const each = world.hosts[index]!;
	if (action === 'kill') {
		each.isAlive = false;
	} else if (action === 'restart') {
		world.restart(index);
	} else if (action === 'stop' && each.isAlive && !each.isFrozen) {
		world.handle(each, {type: 'intake-closed'});
	} else if (action === 'freeze') {
		each.isFrozen = true;
	} else if (action === 'wake') {
		each.isFrozen = false;
		// The first thing that happens to a woken process is a request.
		takeAll(world, each);
	}
}

function runChange(
	world: World,
	action: 'halve' | 'restore' | 'redefine',
	index: number,
): void {
	const each = world.hosts[index]!;
	if (action === 'redefine') {
		world.redefine(each);
	} else {
		world.resize(each, action === 'halve');
	}
}

/** Does one step. */
export function runCommand(world: World, step: Command): void {
	const toIndex = (number: number) => number % world.hosts.length;
	if ('amount' in step) {
		runUse(world, step.do, toIndex(step.host), step.amount);
		return;
	}

	switch (step.do) {
		case 'run': {
			world.run(step.span);
			break;
		}

		case 'sleep': {
			world.run(step.span, Math.max(20, step.span / 200));
			break;
		}

		case 'drain': {
			drainAll(world, step.span, step.isQuiet ?? false);
			break;
		}

		case 'store': {
			world.store.mode = step.mode;
			break;
		}

		case 'weather': {
			world.weather = step.weather;
			break;
		}

		case 'cut': {
			world.setCut(toIndex(step.left), toIndex(step.right), step.isCut);
			break;
		}

		case 'halve':
		case 'restore':
		case 'redefine': {
			runChange(world, step.do, toIndex(step.host));
			break;
		}

		case 'kill':
		case 'restart':
		case 'freeze':
		case 'wake':
		case 'stop': {
			runProcessCommand(world, step.do, toIndex(step.host));
			break;
		}
	}
}

function runUse(
	world: World,
	action: 'take' | 'occupy' | 'want' | 'want-slot' | 'undo',
	index: number,
	amount: number,
): void {
	const each = world.hosts[index]!;
	if (each.isFrozen) {
		return;
	}

	switch (action) {
		case 'take': {
			world.take(each, amount);
			break;
		}

		case 'occupy': {
			world.occupy(each, amount);
			break;
		}

		case 'want': {
			world.want(each, rate.id, amount);
			break;
		}

		case 'want-slot': {
			world.want(each, count.id, amount);
			break;
		}

		case 'undo': {
			world.undo(each, amount);
			break;
		}
	}
}
