import {command, subcommands} from 'cmd-ts';
import type {CommandContext} from '../command-context.js';
import {connectionOptions} from '../command-options.js';
import {formatFields} from '../format-fields.js';

/** `route list`. */
export function createRouteCommand(context: CommandContext) {
	const list = command({
		name: 'list',
		description: 'List routes',
		args: connectionOptions,
		async handler(options) {
			await context.run(options, async (client) => {
				const result = await client.readConfiguration();
				return result.map(({configuration: {routes}}) => ({
					value: routes,
					lines: routes.map((route) => formatFields(route)),
				}));
			});
		},
	});
	return subcommands({name: 'route', description: 'Show routes', cmds: {list}});
}
