import {command, number, option, positional, string, subcommands} from 'cmd-ts';
import {Result} from 'true-myth';
import {toChangeReport} from '../change-report.js';
import {changeConfiguration, type ObjectChange} from '../change.js';
import type {CommandContext} from '../command-context.js';
import {connectionOptions} from '../command-options.js';
import {formatFields} from '../format-fields.js';
import {findNamed, removeNamed, setNamed} from '../named-objects.js';

const nameArgument = positional({type: string, displayName: 'name'});

/** `customer set|remove|list`. */
export function createCustomerCommand(context: CommandContext) {
	return subcommands({
		name: 'customer',
		description: 'Customers and their rates over the whole fleet',
		cmds: {
			set: createSetCommand(context),
			remove: createRemoveCommand(context),
			list: createListCommand(context),
		},
	});
}

function createSetCommand(context: CommandContext) {
	return command({
		name: 'set',
		description: 'Create or change a customer',
		args: {
			name: nameArgument,
			ratePerSecond: option({type: number, long: 'rate'}),
			burst: option({type: number, long: 'burst'}),
			weight: option({type: number, long: 'weight', defaultValue: () => 1}),
			...connectionOptions,
		},
		async handler({name, ratePerSecond, burst, weight, ...options}) {
			const customer = {name, ratePerSecond, burst, weight};
			const change: ObjectChange = {
				section: 'customers',
				name,
				apply: (configuration) =>
					Result.ok({
						...configuration,
						customers: setNamed(configuration.customers, customer),
					}),
			};
			await context.run(options, async (client) =>
				toChangeReport(
					await changeConfiguration(client, change),
					`Customer ${name}`,
				),
			);
		},
	});
}

function createRemoveCommand(context: CommandContext) {
	return command({
		name: 'remove',
		description: 'Remove a customer whose keys are all withdrawn',
		args: {name: nameArgument, ...connectionOptions},
		async handler({name, ...options}) {
			const change = toRemoval(name);
			await context.run(options, async (client) =>
				toChangeReport(
					await changeConfiguration(client, change),
					`Customer ${name}`,
				),
			);
		},
	});
}

function toRemoval(name: string): ObjectChange {
	return {
		section: 'customers',
		name,
		apply(configuration) {
			const {customers, keys} = configuration;
			if (findNamed(customers, name) === undefined) {
				const message = `There is no customer ${name}`;
				return Result.err({kind: 'not-found', message});
			}

			const own = keys.filter((key) => key.customer === name);
			if (own.some((key) => !key.withdrawn)) {
				const message = `Customer ${name} has keys that are not withdrawn`;
				return Result.err({kind: 'not-allowed', message});
			}

			return Result.ok({
				...configuration,
				customers: removeNamed(customers, name),
				keys: keys.filter((key) => key.customer !== name),
			});
		},
	};
}

function createListCommand(context: CommandContext) {
	return command({
		name: 'list',
		description: 'List customers',
		args: connectionOptions,
		async handler(options) {
			await context.run(options, async (client) => {
				const result = await client.readConfiguration();
				return result.map(({configuration: {customers}}) => ({
					value: customers,
					lines: customers.map((customer) => formatFields(customer)),
				}));
			});
		},
	});
}
