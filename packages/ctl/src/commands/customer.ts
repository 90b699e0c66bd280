import {command, number, option, positional, string, subcommands} from 'cmd-ts';
import {Result} from 'true-myth';
import {createChangeReport} from '../change-report.js';
import {
	changeConfiguration,
	type ObjectChange,
} from '../change-configuration.js';
import type {CommandContext} from '../command-context.js';
import {connectionOptions} from '../command-options.js';
import {formatFields} from '../format-fields.js';
import {findByName, removeByName, upsertByName} from '../named-objects.js';

const nameArgument = positional({type: string, displayName: 'name'});

/** `customer set|remove|list`. */
export function createCustomerCommand(context: CommandContext) {
	return subcommands({
		name: 'customer',
		description: 'Manage customers and their fleet-wide rate limits',
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
		description: 'Create or update a customer',
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
						customers: upsertByName(configuration.customers, customer),
					}),
			};
			await context.run(options, async (client) =>
				createChangeReport(
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
			const change = createRemoval(name);
			await context.run(options, async (client) =>
				createChangeReport(
					await changeConfiguration(client, change),
					`Customer ${name}`,
				),
			);
		},
	});
}

function createRemoval(name: string): ObjectChange {
	return {
		section: 'customers',
		name,
		apply(configuration) {
			const {customers, keys} = configuration;
			if (findByName(customers, name) === undefined) {
				const message = `Customer ${name} does not exist`;
				return Result.err({kind: 'not-found', message});
			}

			const customerKeys = keys.filter((key) => key.customer === name);
			if (customerKeys.some((key) => !key.withdrawn)) {
				const message = `Customer ${name} still has keys that are not withdrawn`;
				return Result.err({kind: 'not-allowed', message});
			}

			return Result.ok({
				...configuration,
				customers: removeByName(customers, name),
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
