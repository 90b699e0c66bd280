import process from 'node:process';
import {parseArgs} from 'node:util';
import {second, type Milliseconds} from '@parsleyvale/shared';
import {runFleet} from './routing-fleet.js';
import {hanlin, shiftCap, tintwell} from './routing-scenarios.js';

const runSeconds = 10;

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		load: {type: 'string', default: '0.4'},
	},
});

for (const size of [hanlin, tintwell]) {
	const report = runFleet({
		size,
		scenario: 'cold shift',
		chooser: 'latency-and-in-flight',
		load: Number(values.load),
		seed: Number(values.seed),
	});
	const {refused, failed, latencies} = report.results;
	process.stdout.write(
		`${size.name}: ${latencies.length} answered, ${refused} refused, ${failed} failed; ` +
			`cap ${shiftCap.perSecond} a second and ${shiftCap.burst} at once; ` +
			`windows over the cap: ${countOverruns(report.movedAt)}\n`,
	);
	process.stdout.write(
		'| second | moved | hosts that paused |\n|---|---|---|\n',
	);
	for (let index = 0; index < runSeconds; index++) {
		const moved = countIn(report.movedAt, index);
		const paused = countIn(report.pausedAt, index);
		process.stdout.write(`| ${index + 1} | ${moved} | ${paused} |\n`);
	}
}

function countIn(times: readonly Milliseconds[], index: number): number {
	return times.filter((time) => Math.floor(time / second) === index).length;
}

/** Windows from one moved request to a later one that hold too many. */
function countOverruns(times: readonly Milliseconds[]): number {
	let overruns = 0;
	for (const [first, start] of times.entries()) {
		for (const [more, end] of times.slice(first).entries()) {
			const span = (end - start) / second;
			const allowed = shiftCap.burst + span * shiftCap.perSecond + 1e-6;
			overruns += more + 1 > allowed ? 1 : 0;
		}
	}

	return overruns;
}
