import process from 'node:process';
import {parseArgs} from 'node:util';
import {minute, second} from '@parsleyvale/shared';
import {
	customers,
	Scenario,
	type ScenarioOptions,
	type Tally,
} from './budgets-scenario.js';
import {runRoomRow} from './budgets-room.js';
import {hanlin, tintwell} from './budgets-sites.js';

type Row = {
	readonly situation: string;
	readonly target: string;
	readonly figure: string;
	readonly overruns: number;
};

const hostCount = 10;

function toPercent(part: number, whole: number): string {
	return `${((100 * part) / Math.max(1, whole)).toFixed(2)}%`;
}

function sumOf(
	tallies: readonly Tally[],
	key: 'offered' | 'taken' | 'allowed' | 'wrongfullyRefused' | 'overruns',
): number {
	return tallies.reduce((sum, tally) => sum + tally[key], 0);
}

function describeRefusals(scenario: Scenario): string {
	const wrong = sumOf(scenario.tallies, 'wrongfullyRefused');
	const offered = sumOf(scenario.tallies, 'offered');
	return `${toPercent(wrong, offered)} (${wrong} of ${offered})`;
}

function toRow(
	scenario: Scenario,
	situation: string,
	target: string,
	figure: string,
): Row {
	return {
		situation,
		target,
		figure,
		overruns: sumOf(scenario.tallies, 'overruns'),
	};
}

function runSteady(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	scenario.fleet.run(minute);
	return toRow(
		scenario,
		'steady, 95% of rate',
		'0',
		describeRefusals(scenario),
	);
}

function runBursts(options: ScenarioOptions): Row {
	const scenario = new Scenario(options, 0);
	const {fleet} = scenario;
	for (let round = 0; round < 20; round++) {
		for (const [index, customer] of customers.entries()) {
			const host = fleet.hosts[fleet.random.choose(hostCount)]!;
			for (let count = 0; count < customer.burst; count++) {
				scenario.request(index, host);
			}
		}

		fleet.run(3 * second);
	}

	return toRow(
		scenario,
		'whole burst at one host',
		'<= 0.1%',
		describeRefusals(scenario),
	);
}

function runNoisy(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	scenario.load[0] = 5;
	scenario.fleet.run(minute);
	const [noisy, ...others] = scenario.tallies;
	const worst = Math.min(...others.map((tally) => tally.taken / tally.offered));
	const ofRate =
		noisy!.taken / ((customers[0]!.ratePerSecond * minute) / second);
	const wrong = sumOf(others, 'wrongfullyRefused');
	const figure = `others ${toPercent(wrong, sumOf(others, 'offered'))}, worst ${worst.toFixed(3)}, noisy ${ofRate.toFixed(3)}`;
	return toRow(
		scenario,
		'one customer at 5 times its rate',
		'0, >= 0.98, >= 0.98',
		figure,
	);
}

function runKill(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	scenario.fleet.hosts[4]!.isAlive = false;
	scenario.fleet.run(10 * second);
	const first = describeRefusals(scenario);
	scenario.clear();
	scenario.fleet.run(20 * second);
	const figure = `${first}, then ${describeRefusals(scenario)}`;
	return toRow(
		scenario,
		'kill of one of ten',
		'<= 0.5% in 10 s, then 0',
		figure,
	);
}

function runOutage(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	scenario.fleet.isStoreUp = false;
	for (let passed = 0; passed < 10 * minute; passed += 30 * second) {
		scenario.fleet.run(30 * second);
		scenario.moveDemand();
	}

	return toRow(
		scenario,
		'store down 10 min, demand moving',
		'<= 0.5%',
		describeRefusals(scenario),
	);
}

function runReplacement(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	const {fleet} = scenario;
	fleet.isStoreUp = false;
	fleet.run(5 * second);
	for (let index = 0; index < hostCount; index++) {
		const host = fleet.hosts[index]!;
		fleet.stop(host);
		scenario.leaving.add(host);
		for (
			let waited = 0;
			waited < 15 && host.kernel.isBusy(fleet.now);
			waited++
		) {
			fleet.run(second);
		}

		host.isAlive = false;
		fleet.start(index);
		fleet.run(5 * second);
	}

	return toRow(
		scenario,
		'all ten replaced, store down',
		'<= 1%',
		describeRefusals(scenario),
	);
}

function runCut(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	const {fleet} = scenario;
	fleet.cutRegions.add(options.site.regions[2]!);
	fleet.run(3 * minute);
	const during = describeRefusals(scenario);
	fleet.cutRegions.clear();
	fleet.run(5 * second);
	scenario.clear();
	fleet.run(20 * second);
	const figure = `${during}, healed ${describeRefusals(scenario)}`;
	return toRow(scenario, 'a region cut off for 3 min', 'overrun 0', figure);
}

const rows = [
	runSteady,
	runBursts,
	runNoisy,
	runKill,
	runOutage,
	runReplacement,
	runCut,
	runRoomRow,
];

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		row: {type: 'string'},
	},
});

const ways = [
	{title: 'static shares, spread', steering: 'spread', isLending: false},
	{title: 'lending, spread', steering: 'spread', isLending: true},
	{title: 'lending, steered to 3 hosts', steering: 'steered', isLending: true},
	{
		title: 'lending, steered to 3 hosts, small customers to 1',
		steering: 'steered-by-burst',
		isLending: true,
	},
] as const;

for (const site of [hanlin, tintwell]) {
	for (const {title, steering, isLending} of ways) {
		process.stdout.write(`\n${site.name}: ${title}, seed ${values.seed}\n`);
		process.stdout.write(
			'| situation | target | wrongful refusals | overruns |\n|---|---|---|---|\n',
		);
		for (const [index, run] of rows.entries()) {
			if (values.row !== undefined && index !== Number(values.row)) {
				continue;
			}

			const row = run({site, seed: Number(values.seed), steering, isLending});
			process.stdout.write(
				`| ${row.situation} | ${row.target} | ${row.figure} | ${row.overruns} |\n`,
			);
		}
	}
}
