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

/** One file of an operator's folder. */
export type ConfigurationFile = {readonly name: string; readonly text: string};

type Origin = {readonly file: string; readonly field: string};

type Merge = {
	readonly configuration: Record<SectionName, NamedObject[]>;
	/** Where each object of a section was read. */
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
			message: `The file is not JSON: ${reason}`,
		});
		return undefined;
	}
}

function toMessage(message: string, found: unknown): string {
	const text = JSON.stringify(found);
	return text === undefined ? message : `${message}; found ${text}`;
}

function findValue(value: unknown, path: readonly PropertyKey[]): unknown {
	let found = value;
	for (const step of path) {
		found = (found as Record<PropertyKey, unknown> | undefined)?.[step];
	}

	return typeof found === 'object' ? undefined : found;
}

function addFile(merge: Merge, file: ConfigurationFile): void {
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
				message: toMessage(issue.message, findValue(value, issue.path)),
			});
		}

		return;
	}

	for (const section of sectionNames) {
		addSection(merge, file.name, section, parsed.data[section]);
	}
}

function addSection(
	merge: Merge,
	file: string,
	section: SectionName,
	objects: readonly NamedObject[],
): void {
	const known = merge.configuration[section];
	const origins = merge.origins[section]!;
	for (const [index, object] of objects.entries()) {
		const field = `${section}.${index}`;
		const other = known.findIndex(({name}) => name === object.name);
		if (other !== -1) {
			merge.problems.push({
				file,
				field: `${field}.name`,
				message: `"${object.name}" stands in ${origins[other]!.file} already. Every name is allowed once.`,
			});
		}

		known.push(object);
		origins.push({file, field});
	}
}

/** Gives a problem of the whole the file and field that it was read from. */
function toOrigin(problem: Problem, merge: Merge): Problem {
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
 * Merges a folder's files, in the order of their names, into one checked
 * configuration. Lists are joined section by section. The same name in two
 * files is an error: which file wins would depend on how files are named.
 *
 * @example
 * mergeFiles([{name: '10-customers.json', text: '{"customers": []}'}]);
 */
export function mergeFiles(
	files: readonly ConfigurationFile[],
): Result<Configuration, Problem[]> {
	const merge: Merge = {
		configuration: createEmptyConfiguration(),
		origins: Object.fromEntries(sectionNames.map((name) => [name, []])),
		problems: [],
	};
	const inOrder = [...files].sort((a, b) => (a.name < b.name ? -1 : 1));
	for (const file of inOrder) {
		addFile(merge, file);
	}

	if (merge.problems.length > 0) {
		return Result.err(merge.problems);
	}

	const configuration = merge.configuration as Configuration;
	const problems = checkReferences(configuration).map((problem) =>
		toOrigin(problem, merge),
	);
	return problems.length > 0 ? Result.err(problems) : Result.ok(configuration);
}
