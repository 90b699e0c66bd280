import {command} from 'cmd-ts';
import type {CommandContext} from '../command-context.js';
import {connectionOptions} from '../command-options.js';

/** `get`: prints the active configuration. */
export function createGetCommand(context: CommandContext) {
	return command({
		name: 'get',
		description: 'Print the active configuration and its version',
		args: connectionOptions,
		async handler(options) {
			await context.run(options, async (client) => {
				const result = await client.readConfiguration();
				return result.map((value) => ({
					value,
					lines: [
						`Version ${value.version}`,
						JSON.stringify(value.configuration, undefined, '\t'),
					],
				}));
			});
		},
	});
}
