import {readFile} from 'node:fs/promises';
import {command, multioption, array, positional, string} from 'cmd-ts';
import {Result} from 'true-myth';
import type {CommandContext} from '../command-context.js';
import {jsonOption} from '../command-options.js';
import type {CtlError} from '../ctl-error.js';
import {explainRequest, type LogLine} from '../explain-request.js';

/** `explain ID --logs FILE ...`: what became of a request, and why. */
export function createExplainCommand(context: CommandContext) {
	return command({
		name: 'explain',
		description: "Join the hosts' log lines of one request and name the cause",
		args: {
			id: positional({type: string, displayName: 'request id'}),
			logs: multioption({
				type: array(string),
				long: 'logs',
				description: 'a file with the log of one or more hosts; repeatable',
			}),
			json: jsonOption,
		},
		async handler({id, logs, json}) {
			const read = await readLines(logs);
			const explained = read.andThen((lines) => explainRequest(id, lines));
			const report = explained.map((explanation) => ({
				value: explanation,
				lines: [
					...explanation.timeline.map((line) => formatLine(line)),
					explanation.cause,
				],
			}));
			context.finish(report, json);
		},
	});
}

async function readLines(
	files: readonly string[],
): Promise<Result<string[], CtlError>> {
	const lines: string[] = [];
	for (const file of files) {
		try {
			const text = await readFile(file, 'utf8');
			lines.push(...text.split('\n'));
		} catch (error) {
			const message = `${file} cannot be read: ${String(error)}`;
			return Result.err({kind: 'not-found', message});
		}
	}

	return Result.ok(lines);
}

function formatLine(line: LogLine): string {
	const {time, host, message, requestId, callerId, ...fields} = line;
	const told = Object.entries(fields)
		.map(([name, value]) => `${name}=${String(value)}`)
		.join(' ');
	return `${time} ${host} ${message} ${told}`.trimEnd();
}
