import process from 'node:process';
import {parseArgs} from 'node:util';
import type {ChooserName} from '@parsleyvale/routing';
import type {Milliseconds} from '@parsleyvale/shared';
import {runFleet, type FleetReport} from './routing-fleet.js';
import {
	hanlin,
	scenarioNames,
	tintwell,
	type FleetProfile,
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
	'| fleet | scenario | chooser | p50 ms | p99 ms | refused | failed | other region | peak load / slots |\n' +
		'|---|---|---|---|---|---|---|---|---|\n',
);
for (const profile of [hanlin, tintwell]) {
	for (const scenario of listNames(scenarioNames, values.scenario)) {
		for (const chooser of listNames(choosers, values.chooser)) {
			const report = runFleet({profile, scenario, chooser, load, seed});
			process.stdout.write(formatRow(profile, scenario, chooser, report));
		}
	}
}

/** Returns all names, or only the selected one. */
function listNames<Name extends string>(
	names: readonly Name[],
	selected: string | undefined,
): readonly Name[] {
	return selected === undefined
		? names
		: names.filter((name) => name === selected);
}

function formatRow(
	profile: FleetProfile,
	scenario: ScenarioName,
	chooser: ChooserName,
	report: FleetReport,
): string {
	const {latencies, refused, failed, crossRegion} = report.results;
	const sorted = Float64Array.from(latencies).toSorted();
	const total = latencies.length + refused + failed;
	const cells = [
		profile.name,
		scenario,
		chooser,
		formatQuantile(sorted, 0.5),
		formatQuantile(sorted, 0.99),
		formatPercent(refused, total),
		formatPercent(failed, total),
		formatPercent(crossRegion, total),
		report.peakLoadRatio.toFixed(2),
	];
	return `| ${cells.join(' | ')} |\n`;
}

function formatQuantile(
	sorted: Float64Array,
	quantile: number,
): Milliseconds | string {
	return (sorted[Math.floor((sorted.length - 1) * quantile)] ?? 0).toFixed(1);
}

function formatPercent(count: number, total: number): string {
	return `${((100 * count) / total).toFixed(2)} %`;
}
