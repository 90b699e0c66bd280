import type {Drain, DrainTarget} from '@parsleyvale/shared';
import {command, option, optional, string, subcommands} from 'cmd-ts';
import {Result} from 'true-myth';
import {createChangeReport} from '../change-report.js';
import {
	changeConfiguration,
	type ObjectChange,
} from '../change-configuration.js';
import type {CommandContext} from '../command-context.js';
import {connectionOptions} from '../command-options.js';
import {parseDrainTarget, toDrainName} from '../drain-target.js';
import {formatFields} from '../format-fields.js';
import {findByName, upsertByName} from '../named-objects.js';

const targetOptions = {
	server: option({type: optional(string), long: 'server'}),
	failureDomain: option({
		type: optional(string),
		long: 'failure-domain',
		description: 'REGION/NAME',
	}),
	region: option({type: optional(string), long: 'region'}),
	entryHost: option({type: optional(string), long: 'entry-host'}),
};

/** `drain start|stop|status`. */
export function createDrainCommand(context: CommandContext) {
	return subcommands({
		name: 'drain',
		description:
			'Manage planned drains of servers, failure domains, regions and entry hosts',
		cmds: {
			start: createStateCommand(context, 'start', 'running'),
			stop: createStateCommand(context, 'stop', 'stopped'),
			status: createStatusCommand(context),
		},
	});
}

function createStateCommand(
	context: CommandContext,
	verb: 'start' | 'stop',
	state: Drain['state'],
) {
	return command({
		name: verb,
		description: `Set the drain of a target to ${state}`,
		args: {...targetOptions, ...connectionOptions},
		async handler(options) {
			const target = parseDrainTarget(options);
			if (target.isErr) {
				context.printResult(Result.err(target.error), options.json);
				return;
			}

			const change = createDrainChange(target.value, state);
			await context.run(options, async (client) =>
				createChangeReport(
					await changeConfiguration(client, change),
					`Drain ${change.name}`,
				),
			);
		},
	});
}

function createDrainChange(
	target: DrainTarget,
	state: Drain['state'],
): ObjectChange {
	const name = toDrainName(target);
	return {
		section: 'drains',
		name,
		apply(configuration) {
			const {drains} = configuration;
			const current = findByName(drains, name);
			if (current === undefined && state === 'stopped') {
				const message = `Drain ${name} does not exist`;
				return Result.err({kind: 'not-found', message});
			}

			const drain = {name, target, state};
			return Result.ok({...configuration, drains: upsertByName(drains, drain)});
		},
	};
}

function createStatusCommand(context: CommandContext) {
	return command({
		name: 'status',
		description: 'Show all drains',
		args: connectionOptions,
		async handler(options) {
			await context.run(options, async (client) => {
				const result = await client.readStatus();
				return result.map(({drains}) => ({
					value: drains,
					lines: drains.map((drain) => formatFields(drain)),
				}));
			});
		},
	});
}
