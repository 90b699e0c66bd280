import {
	toProblems,
	shiftSchema,
	type Configuration,
	type Shift,
} from '@parsleyvale/shared';
import {
	command,
	number,
	option,
	optional,
	positional,
	string,
	subcommands,
} from 'cmd-ts';
import {Result} from 'true-myth';
import {createChangeReport} from '../change-report.js';
import {
	changeConfiguration,
	type ObjectChange,
} from '../change-configuration.js';
import type {CommandContext, ConnectionOptions} from '../command-context.js';
import {connectionOptions} from '../command-options.js';
import type {CtlError} from '../ctl-error.js';
import {formatFields} from '../format-fields.js';
import {findByName, upsertByName} from '../named-objects.js';

const nameArgument = positional({type: string, displayName: 'name'});

/** `shift start|pause|stop|status`. */
export function createShiftCommand(context: CommandContext) {
	return subcommands({
		name: 'shift',
		description: "Manage planned shifts of a pool's traffic between regions",
		cmds: {
			start: createStartCommand(context),
			pause: createStateCommand(context, 'pause', 'paused'),
			stop: createStateCommand(context, 'stop', 'stopped'),
			status: createStatusCommand(context),
		},
	});
}

function createStartCommand(context: CommandContext) {
	return command({
		name: 'start',
		description: 'Start or resume a shift; omitted options keep their values',
		args: {
			name: nameArgument,
			pool: option({type: optional(string), long: 'pool'}),
			from: option({type: optional(string), long: 'from'}),
			to: option({type: optional(string), long: 'to'}),
			share: option({
				type: optional(number),
				long: 'share',
				description: 'Share of the traffic to shift, from 0 to 1',
			}),
			capPerSecond: option({type: optional(number), long: 'cap-per-second'}),
			capBurst: option({type: optional(number), long: 'cap-burst'}),
			rampMs: option({type: optional(number), long: 'ramp-ms'}),
			...connectionOptions,
		},
		async handler({name, ...options}) {
			const {pool, from, to, share, capPerSecond, capBurst, rampMs} = options;
			const specified = {pool, from, to, share, capPerSecond, capBurst, rampMs};
			await changeShift(context, options, name, (shift) =>
				parseShift({...shift, ...omitUndefined(specified), name}),
			);
		},
	});
}

function createStateCommand(
	context: CommandContext,
	verb: string,
	state: Shift['state'],
) {
	return command({
		name: verb,
		description: `Set a shift to ${state}`,
		args: {name: nameArgument, ...connectionOptions},
		async handler({name, ...options}) {
			await changeShift(context, options, name, (shift) =>
				shift === undefined
					? Result.err({
							kind: 'not-found',
							message: `Shift ${name} does not exist`,
						})
					: Result.ok({...shift, state}),
			);
		},
	});
}

async function changeShift(
	context: CommandContext,
	options: ConnectionOptions,
	name: string,
	updateShift: (shift: Shift | undefined) => Result<Shift, CtlError>,
): Promise<void> {
	const change: ObjectChange = {
		section: 'shifts',
		name,
		apply: (configuration: Configuration) =>
			updateShift(findByName(configuration.shifts, name)).map((shift) => ({
				...configuration,
				shifts: upsertByName(configuration.shifts, shift),
			})),
	};
	await context.run(options, async (client) =>
		createChangeReport(
			await changeConfiguration(client, change),
			`Shift ${name}`,
		),
	);
}

function parseShift(value: object): Result<Shift, CtlError> {
	const parsed = shiftSchema.safeParse({...value, state: 'running'});
	return parsed.success
		? Result.ok(parsed.data)
		: Result.err({
				kind: 'invalid-configuration',
				problems: toProblems('command line', parsed.error.issues),
			});
}

function omitUndefined(object: object): object {
	return Object.fromEntries(
		Object.entries(object).filter(([, value]) => value !== undefined),
	);
}

function createStatusCommand(context: CommandContext) {
	return command({
		name: 'status',
		description: 'Show all shifts, or the named one',
		args: {
			name: positional({type: optional(string), displayName: 'name'}),
			...connectionOptions,
		},
		async handler({name, ...options}) {
			await context.run(options, async (client) => {
				const result = await client.readStatus();
				return result.map(({shifts}) => {
					const selected = shifts.filter(
						(shift) => name === undefined || shift.name === name,
					);
					return {
						value: selected,
						lines: selected.map((shift) => formatFields(shift)),
					};
				});
			});
		},
	});
}
