import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import {
	settingsSchema,
	toProblems,
	type Problem,
	type Settings,
} from '@parsleyvale/shared';

/**
 * Reads and validates the settings file of an entry host. Errors: all problems,
 * each with file and field.
 *
 * @example
 * const settings = readSettings('tpe-a-1.json');
 */
export function readSettings(file: string): Result<Settings, Problem[]> {
	return readText(file)
		.andThen((text) => parseJson(file, text))
		.andThen((value) => {
			const parsed = settingsSchema.safeParse(value);
			return parsed.success
				? Result.ok<Settings, Problem[]>(parsed.data)
				: Result.err<Settings, Problem[]>(
						toProblems(file, parsed.error.issues),
					);
		});
}

function readText(file: string): Result<string, Problem[]> {
	try {
		return Result.ok(readFileSync(file, 'utf8'));
	} catch (error) {
		const message = `The file cannot be read: ${String(error)}. Name a readable file.`;
		return Result.err([{file, field: '', message}]);
	}
}

function parseJson(file: string, text: string): Result<unknown, Problem[]> {
	try {
		return Result.ok(JSON.parse(text) as unknown);
	} catch (error) {
		const message = `The file is not valid JSON: ${String(error)}. Correct the JSON in this file.`;
		return Result.err([{file, field: '', message}]);
	}
}
