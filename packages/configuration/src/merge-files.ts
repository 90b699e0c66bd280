import {
	configurationSchema,
	type Configuration,
	type Problem,
} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import {checkReferences} from './check-references.js';
import {
	createEmptyConfiguration,
	sectionNames,
	type NamedObject,
	type SectionName,
} from './sections.js';

/** One file of a configuration folder. */
export type ConfigurationFile = {readonly name: string; readonly text: string};

type Origin = {readonly file: string; readonly field: string};

type MergeState = {
	readonly configuration: Record<SectionName, NamedObject[]>;
	/** File and field of each object, by section. */
	readonly origins: Record<string, Origin[]>;
	readonly problems: Problem[];
};

function parseFile(file: ConfigurationFile, problems: Problem[]): unknown {
	try {
		return JSON.parse(file.text) as unknown;
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		problems.push({
			file: file.name,
			field: '',
			message: `The file is not valid JSON: ${reason}`,
		});
		return undefined;
	}
}

function formatMessage(message: string, found: unknown): string {
	const text = JSON.stringify(found);
	return text === undefined ? message : `${message}; found ${text}`;
}

function findValue(value: unknown, path: readonly PropertyKey[]): unknown {
	let found = value;
	for (const key of path) {
		found = (found as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return typeof found === 'object' ? undefined : found;
}

function addFile(merge: MergeState, file: ConfigurationFile): void {
	const value = parseFile(file, merge.problems);
	if (value === undefined) {
		return;
	}

	const parsed = configurationSchema.safeParse(value);
	if (!parsed.success) {
		for (const issue of parsed.error.issues) {
			merge.problems.push({
				file: file.name,
				field: issue.path.map(String).join('.'),
				message: formatMessage(issue.message, findValue(value, issue.path)),
			});
		}

		return;
	}

	for (const section of sectionNames) {
		addSection(merge, file.name, section, parsed.data[section]);
	}
}

function addSection(
	merge: MergeState,
	file: string,
	section: SectionName,
	objects: readonly NamedObject[],
): void {
	const existing = merge.configuration[section];
	const origins = merge.origins[section]!;
	for (const [index, object] of objects.entries()) {
		const field = `${section}.${index}`;
		const duplicateIndex = existing.findIndex(({name}) => name === object.name);
		if (duplicateIndex !== -1) {
			merge.problems.push({
				file,
				field: `${field}.name`,
				message: `"${object.name}" is already defined in ${origins[duplicateIndex]!.file}. Names must be unique.`,
			});
		}

		existing.push(object);
		origins.push({file, field});
	}
}

/** Maps a problem of the merged configuration to its source file and field. */
function toFileProblem(problem: Problem, merge: MergeState): Problem {
	const [section = '', index = '', ...rest] = problem.field.split('.');
	const origin = merge.origins[section]?.[Number(index)];
	return origin === undefined
		? problem
		: {
				file: origin.file,
				field: [origin.field, ...rest].join('.'),
				message: problem.message,
			};
}

/**
 * Merges the files of a folder, sorted by name, into one validated
 * configuration. Sections are concatenated. The same name in two files is an
 * error, as precedence would depend on how the files are named.
 *
 * @example
 * mergeFiles([{name: '10-customers.json', text: '{"customers": []}'}]);
 */
export function mergeFiles(
	files: readonly ConfigurationFile[],
): Result<Configuration, Problem[]> {
	const merge: MergeState = {
		configuration: createEmptyConfiguration(),
		origins: Object.fromEntries(sectionNames.map((name) => [name, []])),
		problems: [],
	};
	const sortedFiles = [...files].sort((a, b) => (a.name < b.name ? -1 : 1));
	for (const file of sortedFiles) {
		addFile(merge, file);
	}

	if (merge.problems.length > 0) {
		return Result.err(merge.problems);
	}

	const configuration = merge.configuration as Configuration;
	const problems = checkReferences(configuration).map((problem) =>
		toFileProblem(problem, merge),
	);
	return problems.length > 0 ? Result.err(problems) : Result.ok(configuration);
}
