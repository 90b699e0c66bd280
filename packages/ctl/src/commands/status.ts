import {command} from 'cmd-ts';
import type {StatusResponse} from '../administration-responses.js';
import type {CommandContext} from '../command-context.js';
import {connectionOptions} from '../command-options.js';
import {formatFields} from '../format-fields.js';

/** `status`: shows hosts, shifts, drains and budgets. */
export function createStatusCommand(context: CommandContext) {
	return command({
		name: 'status',
		description: 'Show entry hosts, shifts, drains and budgets',
		args: connectionOptions,
		async handler(options) {
			await context.run(options, async (client) => {
				const result = await client.readStatus();
				return result.map((value) => ({value, lines: formatStatus(value)}));
			});
		},
	});
}

function formatStatus(status: StatusResponse): string[] {
	return [
		`Version ${status.version}`,
		...status.hosts.map((host) => `entry host  ${formatFields(host)}`),
		...status.shifts.map((shift) => `shift  ${formatFields(shift)}`),
		...status.drains.map((drain) => `drain  ${formatFields(drain)}`),
		...status.budgets.map((budget) => `budget  ${formatFields(budget)}`),
	];
}
