#!/usr/bin/env node
import process from 'node:process';
import {command, option, run, string} from 'cmd-ts';
import {consola} from 'consola';
import {formatProblem, type Settings} from '@parsleyvale/shared';
import {createDaemon} from './daemon.js';
import {readSettings} from './read-settings.js';

const invalidSettingsExitCode = 2;

const daemonCommand = command({
	name: 'parsleyvaled',
	description: 'The daemon of one entry host',
	args: {
		settings: option({
			type: string,
			long: 'settings',
			description: 'JSON file; docs/operators/settings.md lists its fields',
		}),
	},
	async handler({settings}) {
		const parsed = readSettings(settings);
		if (parsed.isErr) {
			for (const problem of parsed.error) {
				consola.error(formatProblem(problem));
			}

			process.exitCode = invalidSettingsExitCode;
			return;
		}

		await serve(parsed.value);
	},
});

async function serve(settings: Settings): Promise<void> {
	const daemon = createDaemon(settings);
	const ports = await daemon.start();
	process.stdout.write(`${JSON.stringify({name: settings.name, ...ports})}\n`);
	const onStop = () => {
		void daemon.stop();
	};

	process.once('SIGTERM', onStop);
	process.once('SIGINT', onStop);
}

await run(daemonCommand, process.argv.slice(2));
