import {command, positional, string} from 'cmd-ts';
import type {CommandContext} from '../command-context.js';
import {jsonOption} from '../command-options.js';
import {readFolder} from '../folder.js';

/** `validate FOLDER`: checks a folder without any entry host. */
export function createValidateCommand(context: CommandContext) {
	return command({
		name: 'validate',
		description: 'Check a folder of configuration files',
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
			context.finish(report, json);
		},
	});
}
