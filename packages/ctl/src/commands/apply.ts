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
import {mergeFolder} from '../merge-folder.js';
import {readFolder} from '../read-folder.js';
import {runOperation} from '../operation.js';

/** `apply FOLDER`: activates the configuration in a folder. */
export function createApplyCommand(context: CommandContext) {
	return command({
		name: 'apply',
		description:
			'Apply a configuration folder: replaces regions, links, pools, customers ' +
			'and routes, and adds or updates keys, shifts and drains by name',
		args: {
			folder: positional({type: string, displayName: 'folder'}),
			dryRun: flag({long: 'dry-run', description: 'Only show the differences'}),
			...connectionOptions,
		},
		async handler({folder, dryRun, ...options}) {
			const folderResult = await readFolder(folder);
			if (folderResult.isErr) {
				context.printResult(Result.err(folderResult.error), options.json);
				return;
			}

			await context.run(options, async (client) =>
				applyFolder(client, folderResult.value, dryRun),
			);
		},
	});
}

async function applyFolder(
	client: AdministrationClient,
	folderConfiguration: Configuration,
	isDryRun: boolean,
): Promise<Result<Report, CtlError>> {
	const activeResult = await client.readConfiguration();
	if (activeResult.isErr) {
		return Result.err(activeResult.error);
	}

	const {version: expectedVersion, configuration} = activeResult.value;
	const proposed = mergeFolder(configuration, folderConfiguration);
	const problems = checkReferences(proposed, 'folder with what is in force');
	if (problems.length > 0) {
		return Result.err({kind: 'invalid-configuration', problems});
	}

	const differences = compareConfigurations(configuration, proposed);
	if (isDryRun || differences.length === 0) {
		return Result.ok(createReport(expectedVersion, false, differences));
	}

	const result = await runOperation(client, {
		operationId: randomUUID(),
		expectedVersion,
		configuration: proposed,
	});
	return result.map((version) => createReport(version, true, differences));
}

function createReport(
	version: number,
	changed: boolean,
	differences: ReturnType<typeof compareConfigurations>,
): Report {
	const summary = changed
		? `Accepted as version ${version}`
		: `No changes sent; version ${version} is active`;
	return {
		value: {version, changed, differences},
		lines: [
			...differences.map((difference) => formatDifference(difference)),
			summary,
		],
	};
}
