import {randomUUID} from 'node:crypto';
import {command, option, positional, string, subcommands} from 'cmd-ts';
import {Result} from 'true-myth';
import {changeConfiguration, type ObjectChange} from '../change.js';
import type {CommandContext} from '../command-context.js';
import {connectionOptions} from '../command-options.js';
import {formatFields} from '../format-fields.js';
import {createKeySecret} from '../key-secret.js';
import {findNamed, setNamed} from '../named-objects.js';
import {runKeyWithdrawal} from '../operation.js';

const nameArgument = positional({type: string, displayName: 'name'});

/** `key create|withdraw|list`. */
export function createKeyCommand(context: CommandContext) {
	return subcommands({
		name: 'key',
		description: "Callers' keys",
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
		description: 'Create a key and show it once; only its hash is kept',
		args: {
			name: nameArgument,
			customer: option({type: string, long: 'customer'}),
			...connectionOptions,
		},
		async handler({name, customer, ...options}) {
			const {text, hash} = createKeySecret();
			await context.run(options, async (client) => {
				const change = toKeyChange(name, customer, hash);
				const result = await changeConfiguration(client, change);
				return result.map(({version}) => ({
					value: {name, customer, key: text, version},
					lines: [
						`Key ${name} of ${customer}: accepted as version ${version}`,
						'It is shown this once:',
						text,
					],
				}));
			});
		},
	});
}

function toKeyChange(
	name: string,
	customer: string,
	hash: string,
): ObjectChange {
	return {
		section: 'keys',
		name,
		apply(configuration) {
			const {keys} = configuration;
			if (findNamed(keys, name) !== undefined) {
				const message = `There is a key ${name} already`;
				return Result.err({kind: 'not-allowed', message});
			}

			const key = {name, customer, hash, withdrawn: false};
			return Result.ok({...configuration, keys: setNamed(keys, key)});
		},
	};
}

function createWithdrawCommand(context: CommandContext) {
	return command({
		name: 'withdraw',
		description: 'Withdraw a key; it is out of force everywhere when this ends',
		args: {name: nameArgument, ...connectionOptions},
		async handler({name, ...options}) {
			await context.run(options, async (client) => {
				const result = await runKeyWithdrawal(client, name, randomUUID());
				return result.map((version) => ({
					value: {name, version, withdrawn: true},
					lines: [`Key ${name} is withdrawn everywhere (version ${version})`],
				}));
			});
		},
	});
}

function createListCommand(context: CommandContext) {
	return command({
		name: 'list',
		description: 'List keys by name; their text is not kept',
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
