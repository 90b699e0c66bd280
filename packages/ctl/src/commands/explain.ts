import {readFile} from 'node:fs/promises';
import {command, multioption, array, positional, string} from 'cmd-ts';
import {Result} from 'true-myth';
import type {CommandContext} from '../command-context.js';
import {jsonOption} from '../command-options.js';
import type {CtlError} from '../ctl-error.js';
import {explainRequest, type LogLine} from '../explain-request.js';

/** `explain ID --logs FILE ...`: shows the log lines and the outcome of a request. */
export function createExplainCommand(context: CommandContext) {
	return command({
		name: 'explain',
		description:
			"Show a request's log lines from all hosts and the cause of its outcome",
		args: {
			id: positional({type: string, displayName: 'request id'}),
			logs: multioption({
				type: array(string),
				long: 'logs',
				description: 'Log file of one or more hosts; repeatable',
			}),
			json: jsonOption,
		},
		async handler({id, logs, json}) {
			const linesResult = await readLines(logs);
			const result = linesResult.andThen((lines) => explainRequest(id, lines));
			const report = result.map((explanation) => ({
				value: explanation,
				lines: [
					...explanation.timeline.map((line) => formatLine(line)),
					explanation.cause,
				],
			}));
			context.printResult(report, json);
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
			const message = `Cannot read ${file}: ${String(error)}`;
			return Result.err({kind: 'not-found', message});
		}
	}

	return Result.ok(lines);
}

function formatLine(line: LogLine): string {
	const {time, host, message, requestId, callerId, ...fields} = line;
	const formattedFields = Object.entries(fields)
		.map(([name, value]) => `${name}=${String(value)}`)
		.join(' ');
	return `${time} ${host} ${message} ${formattedFields}`.trimEnd();
}
