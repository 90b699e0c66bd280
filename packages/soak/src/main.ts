#!/usr/bin/env node
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {command, flag, number, option, run} from 'cmd-ts';
import {runSoak, formatFault, type SoakReport} from './soak.js';

const millisecondsPerMinute = 60_000;

const soakCommand = command({
	name: 'soak',
	description:
		'Runs daemons under injected faults and checks what callers and servers observe.',
	args: {
		seed: option({long: 'seed', type: number, defaultValue: () => Date.now()}),
		seeds: option({
			long: 'seeds',
			type: number,
			defaultValue: () => 1,
			description: 'number of runs, with consecutive seeds',
		}),
		minutes: option({long: 'minutes', type: number, defaultValue: () => 0.5}),
		daemons: option({long: 'daemons', type: number, defaultValue: () => 4}),
		servers: option({long: 'servers', type: number, defaultValue: () => 6}),
		isQuiet: flag({
			long: 'quiet',
			description: 'prints only the result of each run',
		}),
	},
	async handler({seed, seeds, minutes, daemons, servers, isQuiet}) {
		let violationCount = 0;
		for (let currentSeed = seed; currentSeed < seed + seeds; currentSeed++) {
			const folder = mkdtempSync(path.join(tmpdir(), `soak-${currentSeed}-`));
			const report = await runSoak({
				seed: currentSeed,
				duration: minutes * millisecondsPerMinute,
				daemons,
				servers,
				folder,
				onProgress(line) {
					if (!isQuiet) {
						writeLine(line);
					}
				},
			});
			violationCount += report.violations.length;
			writeReport(currentSeed, report, folder);
		}

		process.exitCode = violationCount > 0 ? 1 : 0;
	},
});

function writeReport(seed: number, report: SoakReport, folder: string): void {
	const {plan, violations, outcomes, executions} = report;
	const counts = [...outcomes].map(([name, count]) => `${name}: ${count}`);
	writeLine(
		`seed ${seed}: ${plan.length} faults, ${executions} executions, ${counts.join(', ')}; broken: ${violations.length}`,
	);
	if (violations.length === 0) {
		return;
	}

	for (const {guarantee, requestId, detail} of violations.slice(0, 20)) {
		writeLine(`  broken: ${guarantee}: ${requestId ?? ''} ${detail}`);
	}

	for (const fault of plan) {
		writeLine(`  ${fault.at} ms: ${formatFault(fault)}`);
	}

	writeLine(`  logs: parsleyvalectl explain REQUEST-ID --logs ${folder}/*.log`);
}

function writeLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		// The exit handler also kills the daemons.
		process.exit(1);
	});
}

await run(soakCommand, process.argv.slice(2));
// A connection left half open by a fault must not keep the process alive.
process.stdout.write('', () => {
	process.exit();
});
