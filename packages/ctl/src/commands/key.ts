import {randomUUID} from 'node:crypto';
import {command, option, positional, string, subcommands} from 'cmd-ts';
import {Result} from 'true-myth';
import {
	changeConfiguration,
	type ObjectChange,
} from '../change-configuration.js';
import type {CommandContext} from '../command-context.js';
import {connectionOptions} from '../command-options.js';
import {formatFields} from '../format-fields.js';
import {createKeySecret} from '../key-secret.js';
import {findByName, upsertByName} from '../named-objects.js';
import {runKeyWithdrawal} from '../operation.js';

const nameArgument = positional({type: string, displayName: 'name'});

/** `key create|withdraw|list`. */
export function createKeyCommand(context: CommandContext) {
	return subcommands({
		name: 'key',
		description: 'Manage API keys of callers',
		cmds: {
			create: createCreateCommand(context),
			withdraw: createWithdrawCommand(context),
			list: createListCommand(context),
		},
	});
}

function createCreateCommand(context: CommandContext) {
	return command({
		name: 'create',
		description: 'Create a key and show it once; only its hash is stored',
		args: {
			name: nameArgument,
			customer: option({type: string, long: 'customer'}),
			...connectionOptions,
		},
		async handler({name, customer, ...options}) {
			const {text, hash} = createKeySecret();
			await context.run(options, async (client) => {
				const change = createKeyAddition(name, customer, hash);
				const result = await changeConfiguration(client, change);
				return result.map(({version}) => ({
					value: {name, customer, key: text, version},
					lines: [
						`Key ${name} of ${customer}: accepted as version ${version}`,
						'The key is shown only once:',
						text,
					],
				}));
			});
		},
	});
}

function createKeyAddition(
	name: string,
	customer: string,
	hash: string,
): ObjectChange {
	return {
		section: 'keys',
		name,
		apply(configuration) {
			const {keys} = configuration;
			if (findByName(keys, name) !== undefined) {
				const message = `Key ${name} already exists`;
				return Result.err({kind: 'not-allowed', message});
			}

			const key = {name, customer, hash, withdrawn: false};
			return Result.ok({...configuration, keys: upsertByName(keys, key)});
		},
	};
}

function createWithdrawCommand(context: CommandContext) {
	return command({
		name: 'withdraw',
		description: 'Withdraw a key; after success, no entry host accepts it',
		args: {name: nameArgument, ...connectionOptions},
		async handler({name, ...options}) {
			await context.run(options, async (client) => {
				const result = await runKeyWithdrawal(client, name, randomUUID());
				return result.map((version) => ({
					value: {name, version, withdrawn: true},
					lines: [
						`Key ${name}: withdrawn on all entry hosts (version ${version})`,
					],
				}));
			});
		},
	});
}

function createListCommand(context: CommandContext) {
	return command({
		name: 'list',
		description: 'List keys without their text, which is not stored',
		args: connectionOptions,
		async handler(options) {
			await context.run(options, async (client) => {
				const result = await client.readConfiguration();
				return result.map(({configuration}) => {
					const keys = configuration.keys.map(({hash, ...key}) => key);
					return {value: keys, lines: keys.map((key) => formatFields(key))};
				});
			});
		},
	});
}
