import {command, positional, string} from 'cmd-ts';
import type {CommandContext} from '../command-context.js';
import {jsonOption} from '../command-options.js';
import {readFolder} from '../read-folder.js';

/** `validate FOLDER`: validates a folder without contacting an entry host. */
export function createValidateCommand(context: CommandContext) {
	return command({
		name: 'validate',
		description: 'Validate a folder of configuration files',
		args: {
			folder: positional({type: string, displayName: 'folder'}),
			json: jsonOption,
		},
		async handler({folder, json}) {
			const result = await readFolder(folder);
			const report = result.map((configuration) => ({
				value: {valid: true},
				lines: [
					`Valid: ${configuration.pools.length} pools, ` +
						`${configuration.customers.length} customers, ` +
						`${configuration.routes.length} routes`,
				],
			}));
			context.printResult(report, json);
		},
	});
}
