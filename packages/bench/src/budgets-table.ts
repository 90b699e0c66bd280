import process from 'node:process';
import {parseArgs} from 'node:util';
import {minute, second} from '@parsleyvale/shared';
import {
	customers,
	Scenario,
	type ScenarioOptions,
	type CustomerStats,
} from './budgets-scenario.js';
import {runRegionOverload} from './budgets-capacity.js';
import {hanlin, tintwell} from './budgets-sites.js';

type Row = {
	readonly situation: string;
	readonly target: string;
	readonly figure: string;
	readonly overruns: number;
};

const hostCount = 10;

function formatPercent(count: number, total: number): string {
	return `${((100 * count) / Math.max(1, total)).toFixed(2)}%`;
}

function sumField(
	customerStats: readonly CustomerStats[],
	key: 'offered' | 'taken' | 'allowed' | 'wrongfullyRefused' | 'overruns',
): number {
	return customerStats.reduce((sum, stats) => sum + stats[key], 0);
}

function describeRefusals(scenario: Scenario): string {
	const wrongfullyRefused = sumField(
		scenario.customerStats,
		'wrongfullyRefused',
	);
	const offered = sumField(scenario.customerStats, 'offered');
	return `${formatPercent(wrongfullyRefused, offered)} (${wrongfullyRefused} of ${offered})`;
}

function createRow(
	scenario: Scenario,
	situation: string,
	target: string,
	figure: string,
): Row {
	return {
		situation,
		target,
		figure,
		overruns: sumField(scenario.customerStats, 'overruns'),
	};
}

function runSteady(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	scenario.fleet.run(minute);
	return createRow(
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
			const host = fleet.hosts[fleet.random.nextInteger(hostCount)]!;
			for (let count = 0; count < customer.burst; count++) {
				scenario.sendRequest(index, host);
			}
		}

		fleet.run(3 * second);
	}

	return createRow(
		scenario,
		'whole burst sent to one host',
		'<= 0.1%',
		describeRefusals(scenario),
	);
}

function runNoisyCustomer(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	scenario.loadFactors[0] = 5;
	scenario.fleet.run(minute);
	const [noisy, ...others] = scenario.customerStats;
	const lowestTakenFraction = Math.min(
		...others.map((stats) => stats.taken / stats.offered),
	);
	const fractionOfRate =
		noisy!.taken / ((customers[0]!.ratePerSecond * minute) / second);
	const wrongfullyRefused = sumField(others, 'wrongfullyRefused');
	const figure = `others ${formatPercent(wrongfullyRefused, sumField(others, 'offered'))}, worst ${lowestTakenFraction.toFixed(3)}, noisy ${fractionOfRate.toFixed(3)}`;
	return createRow(
		scenario,
		'one customer at 5 times its rate',
		'0, >= 0.98, >= 0.98',
		figure,
	);
}

function runHostCrash(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	scenario.fleet.hosts[4]!.isAlive = false;
	scenario.fleet.run(10 * second);
	const refusalsAfterCrash = describeRefusals(scenario);
	scenario.resetCounts();
	scenario.fleet.run(20 * second);
	const figure = `${refusalsAfterCrash}, then ${describeRefusals(scenario)}`;
	return createRow(
		scenario,
		'crash of one of ten hosts',
		'<= 0.5% in 10 s, then 0',
		figure,
	);
}

function runStoreOutage(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	scenario.fleet.isStoreUp = false;
	for (let elapsed = 0; elapsed < 10 * minute; elapsed += 30 * second) {
		scenario.fleet.run(30 * second);
		scenario.moveCallers();
	}

	return createRow(
		scenario,
		'store down 10 min, callers moving',
		'<= 0.5%',
		describeRefusals(scenario),
	);
}

function runRollingReplacement(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	const {fleet} = scenario;
	fleet.isStoreUp = false;
	fleet.run(5 * second);
	for (let index = 0; index < hostCount; index++) {
		const host = fleet.hosts[index]!;
		fleet.stopHost(host);
		scenario.drainingHosts.add(host);
		for (
			let waitedSeconds = 0;
			waitedSeconds < 15 && host.kernel.isBusy(fleet.now);
			waitedSeconds++
		) {
			fleet.run(second);
		}

		host.isAlive = false;
		fleet.startHost(index);
		fleet.run(5 * second);
	}

	return createRow(
		scenario,
		'all ten hosts replaced, store down',
		'<= 1%',
		describeRefusals(scenario),
	);
}

function runRegionPartition(options: ScenarioOptions): Row {
	const scenario = new Scenario(options);
	const {fleet} = scenario;
	fleet.partitionedRegions.add(options.site.regions[2]!);
	fleet.run(3 * minute);
	const refusalsDuringPartition = describeRefusals(scenario);
	fleet.partitionedRegions.clear();
	fleet.run(5 * second);
	scenario.resetCounts();
	fleet.run(20 * second);
	const figure = `${refusalsDuringPartition}, healed ${describeRefusals(scenario)}`;
	return createRow(
		scenario,
		'one region partitioned for 3 min',
		'overruns 0',
		figure,
	);
}

const rowRunners = [
	runSteady,
	runBursts,
	runNoisyCustomer,
	runHostCrash,
	runStoreOutage,
	runRollingReplacement,
	runRegionPartition,
	runRegionOverload,
];

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		row: {type: 'string'},
	},
});

const strategies = [
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
	for (const {title, steering, isLending} of strategies) {
		process.stdout.write(`\n${site.name}: ${title}, seed ${values.seed}\n`);
		process.stdout.write(
			'| situation | target | wrongful refusals | overruns |\n|---|---|---|---|\n',
		);
		for (const [index, run] of rowRunners.entries()) {
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
