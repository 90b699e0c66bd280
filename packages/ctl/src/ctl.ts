import {runSafely, subcommands} from 'cmd-ts';
import {CommandContext} from './command-context.js';
import {createApplyCommand} from './commands/apply.js';
import {createCustomerCommand} from './commands/customer.js';
import {createDrainCommand} from './commands/drain.js';
import {createExplainCommand} from './commands/explain.js';
import {createGetCommand} from './commands/get.js';
import {createKeyCommand} from './commands/key.js';
import {createRouteCommand} from './commands/route.js';
import {createShiftCommand} from './commands/shift.js';
import {createStatusCommand} from './commands/status.js';
import {createValidateCommand} from './commands/validate.js';
import {exitCodeHelp} from './ctl-error.js';
import type {Output} from './output.js';

/**
 * Runs a command line and returns the exit code of the process.
 *
 * @example
 * await runCtl(['validate', 'examples/hanlin'], createConsoleOutput());
 */
export async function runCtl(
	args: readonly string[],
	output: Output,
): Promise<number> {
	const context = new CommandContext(output);
	const result = await runSafely(createRootCommand(context), [...args]);
	if (result._tag === 'ok') {
		return context.exitCode;
	}

	const {message, exitCode, into} = result.error.config;
	if (into === 'stdout') {
		output.write(message);
	} else {
		output.writeError(message);
	}

	return exitCode;
}

function createRootCommand(context: CommandContext) {
	return subcommands({
		name: 'parsleyvalectl',
		description: `Administer parsleyvale.\n\n${exitCodeHelp}`,
		cmds: {
			validate: createValidateCommand(context),
			apply: createApplyCommand(context),
			get: createGetCommand(context),
			status: createStatusCommand(context),
			key: createKeyCommand(context),
			customer: createCustomerCommand(context),
			route: createRouteCommand(context),
			shift: createShiftCommand(context),
			drain: createDrainCommand(context),
			explain: createExplainCommand(context),
		},
	});
}
