import process from 'node:process';
import {parseArgs} from 'node:util';
import type {ChooserName} from '@parsleyvale/routing';
import type {Milliseconds} from '@parsleyvale/shared';
import {runFleet, type FleetReport} from './routing-fleet.js';
import {
	hanlin,
	scenarioNames,
	tintwell,
	type FleetSize,
	type ScenarioName,
} from './routing-scenarios.js';

const choosers: readonly ChooserName[] = [
	'random',
	'round-robin',
	'least-in-flight-of-two',
	'latency-and-in-flight',
];

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		load: {type: 'string', default: '0.6'},
		scenario: {type: 'string'},
		chooser: {type: 'string'},
	},
});
const seed = Number(values.seed);
const load = Number(values.load);

process.stdout.write(`seed ${seed}, load ${load} of all slots\n`);
process.stdout.write(
	'| fleet | scenario | chooser | p50 ms | p99 ms | refused | failed | other region | peak of slots |\n' +
		'|---|---|---|---|---|---|---|---|---|\n',
);
for (const size of [hanlin, tintwell]) {
	for (const scenario of listNames(scenarioNames, values.scenario)) {
		for (const chooser of listNames(choosers, values.chooser)) {
			const report = runFleet({size, scenario, chooser, load, seed});
			process.stdout.write(formatRow(size, scenario, chooser, report));
		}
	}
}

/** All names, or the one that was asked for. */
function listNames<Name extends string>(
	names: readonly Name[],
	only: string | undefined,
): readonly Name[] {
	return only === undefined ? names : names.filter((name) => name === only);
}

function formatRow(
	size: FleetSize,
	scenario: ScenarioName,
	chooser: ChooserName,
	report: FleetReport,
): string {
	const {latencies, refused, failed, remote} = report.results;
	const sorted = Float64Array.from(latencies).toSorted();
	const all = latencies.length + refused + failed;
	const cells = [
		size.name,
		scenario,
		chooser,
		formatQuantile(sorted, 0.5),
		formatQuantile(sorted, 0.99),
		formatPart(refused, all),
		formatPart(failed, all),
		formatPart(remote, all),
		report.peak.toFixed(2),
	];
	return `| ${cells.join(' | ')} |\n`;
}

function formatQuantile(
	sorted: Float64Array,
	quantile: number,
): Milliseconds | string {
	return (sorted[Math.floor((sorted.length - 1) * quantile)] ?? 0).toFixed(1);
}

function formatPart(count: number, all: number): string {
	return `${((100 * count) / all).toFixed(2)} %`;
}
