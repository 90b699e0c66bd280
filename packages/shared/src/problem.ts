import type {z} from 'zod';

/** A validation error in a file or value that an operator wrote. */
export type Problem = {
	/** The file, or the name of the source if there is no file. */
	readonly file: string;
	/** Path of the field, such as `pools.0.servers.3.slots`. */
	readonly field: string;
	/** The invalid value and what is allowed. */
	readonly message: string;
};

/**
 * Converts the issues of a schema validation to problems of a file.
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

/** Formats a problem as one line: file, field and message. */
export function formatProblem(problem: Problem): string {
	const field = problem.field === '' ? '(whole file)' : problem.field;
	return `${problem.file}: ${field}: ${problem.message}`;
}
