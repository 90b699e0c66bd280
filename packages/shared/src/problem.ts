import type {z} from 'zod';

/** One fault in something a person wrote, with the way out. */
export type Problem = {
	/** The file, or the name of what was read where there is no file. */
	readonly file: string;
	/** Path to the field, such as `pools.0.servers.3.slots`. */
	readonly field: string;
	/** What was found and what is allowed. */
	readonly message: string;
};

/**
 * The problems that a schema found, each with its file and field.
 *
 * @example
 * toProblems('10-regions.json', regionSchema.safeParse({}).error.issues);
 */
export function toProblems(
	file: string,
	issues: readonly z.core.$ZodIssue[],
): Problem[] {
	return issues.map((issue) => ({
		file,
		field: issue.path.map(String).join('.'),
		message: issue.message,
	}));
}

/** One line for a person: file, field, and what to do. */
export function toProblemLine(problem: Problem): string {
	const field = problem.field === '' ? '(whole file)' : problem.field;
	return `${problem.file}: ${field}: ${problem.message}`;
}
