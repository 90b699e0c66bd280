import process from 'node:process';
import {runBlocksBenchmark} from './blocks.js';
import {runConfigurationBenchmark} from './capacity-configuration.js';
import {runGossipBenchmark} from './gossip.js';

const blockCounts = [33_000, 330_000, 3_300_000];
const daemonCounts = [10, 100, 1000, 2800];
const configurationSizes: Array<[customers: number, servers: number]> = [
	[8, 32],
	[100, 320],
	[1000, 1600],
	[2000, 3200],
];

type Row = Readonly<Record<string, string | number>>;

function toCell(value: string | number): string {
	if (typeof value === 'string') {
		return value;
	}

	return value >= 100 || Number.isInteger(value)
		? String(Math.round(value))
		: value.toPrecision(3);
}

function writeTable(title: string, rows: readonly Row[]): void {
	const columns = Object.keys(rows[0] ?? {});
	const lines = [
		`\n${title}\n`,
		`| ${columns.join(' | ')} |`,
		`|${columns.map(() => '---').join('|')}|`,
		...rows.map(
			(row) =>
				`| ${columns.map((column) => toCell(row[column]!)).join(' | ')} |`,
		),
	];
	process.stdout.write(`${lines.join('\n')}\n`);
}

writeTable(
	'Client blocks',
	blockCounts.map((count) => runBlocksBenchmark(count)),
);
writeTable(
	'Heartbeats and gossip, per daemon',
	daemonCounts.flatMap((count) => runGossipBenchmark(count)),
);
writeTable(
	'Cost of one configuration change',
	configurationSizes.map(([customers, servers]) =>
		runConfigurationBenchmark(customers, servers),
	),
);
