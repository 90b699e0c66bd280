import {randomUUID} from 'node:crypto';
import {
	checkReferences,
	compareConfigurations,
	formatDifference,
} from '@parsleyvale/configuration';
import type {Configuration} from '@parsleyvale/shared';
import {command, flag, positional, string} from 'cmd-ts';
import {Result} from 'true-myth';
import type {AdministrationClient} from '../administration-client.js';
import type {CommandContext, Report} from '../command-context.js';
import {connectionOptions} from '../command-options.js';
import type {CtlError} from '../ctl-error.js';
import {mergeFolder} from '../folder-plan.js';
import {readFolder} from '../folder.js';
import {runOperation} from '../operation.js';

/** `apply FOLDER`: puts a folder in force. */
export function createApplyCommand(context: CommandContext) {
	return command({
		name: 'apply',
		description:
			'Put a folder in force: it replaces regions, links, pools, customers ' +
			'and routes, and adds or updates keys, shifts and drains by name',
		args: {
			folder: positional({type: string, displayName: 'folder'}),
			dryRun: flag({long: 'dry-run', description: 'Only show the difference'}),
			...connectionOptions,
		},
		async handler({folder, dryRun, ...options}) {
			const read = await readFolder(folder);
			if (read.isErr) {
				context.finish(Result.err(read.error), options.json);
				return;
			}

			await context.run(options, async (client) =>
				applyFolder(client, read.value, dryRun),
			);
		},
	});
}

async function applyFolder(
	client: AdministrationClient,
	folder: Configuration,
	isDryRun: boolean,
): Promise<Result<Report, CtlError>> {
	const read = await client.readConfiguration();
	if (read.isErr) {
		return Result.err(read.error);
	}

	const {version: expectedVersion, configuration} = read.value;
	const planned = mergeFolder(configuration, folder);
	const problems = checkReferences(planned, 'folder with what is in force');
	if (problems.length > 0) {
		return Result.err({kind: 'invalid-configuration', problems});
	}

	const differences = compareConfigurations(configuration, planned);
	if (isDryRun || differences.length === 0) {
		return Result.ok(createReport(expectedVersion, false, differences));
	}

	const result = await runOperation(client, {
		operationId: randomUUID(),
		expectedVersion,
		configuration: planned,
	});
	return result.map((version) => createReport(version, true, differences));
}

function createReport(
	version: number,
	changed: boolean,
	differences: ReturnType<typeof compareConfigurations>,
): Report {
	const verdict = changed
		? `Accepted as version ${version}`
		: `Nothing sent; version ${version} is in force`;
	return {
		value: {version, changed, differences},
		lines: [
			...differences.map((difference) => formatDifference(difference)),
			verdict,
		],
	};
}
