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

for (const profile of [hanlin, tintwell]) {
	const report = runFleet({
		profile,
		scenario: 'cold shift',
		chooser: 'latency-and-in-flight',
		load: Number(values.load),
		seed: Number(values.seed),
	});
	const {refused, failed, latencies} = report.results;
	process.stdout.write(
		`${profile.name}: ${latencies.length} answered, ${refused} refused, ${failed} failed; ` +
			`cap ${shiftCap.perSecond} per second with a burst of ${shiftCap.burst}; ` +
			`windows over the cap: ${countWindowsOverCap(report.shiftedAt)}\n`,
	);
	process.stdout.write(
		'| second | shifted requests | paused hosts |\n|---|---|---|\n',
	);
	for (let index = 0; index < runSeconds; index++) {
		const moved = countInSecond(report.shiftedAt, index);
		const paused = countInSecond(report.pausedAt, index);
		process.stdout.write(`| ${index + 1} | ${moved} | ${paused} |\n`);
	}
}

function countInSecond(times: readonly Milliseconds[], index: number): number {
	return times.filter((time) => Math.floor(time / second) === index).length;
}

/** Counts the windows between any two shifted requests that contain more requests than the cap allows. */
function countWindowsOverCap(times: readonly Milliseconds[]): number {
	let windowCount = 0;
	for (const [index, start] of times.entries()) {
		for (const [offset, end] of times.slice(index).entries()) {
			const seconds = (end - start) / second;
			const maxCount = shiftCap.burst + seconds * shiftCap.perSecond + 1e-6;
			windowCount += offset + 1 > maxCount ? 1 : 0;
		}
	}

	return windowCount;
}
