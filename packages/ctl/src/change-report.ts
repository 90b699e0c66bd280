import type {Result} from 'true-myth';
import type {ChangeOutcome} from './change.js';
import type {Report} from './command-context.js';
import type {CtlError} from './ctl-error.js';

/** What is told of a changed object. */
export function toChangeReport(
	result: Result<ChangeOutcome, CtlError>,
	subject: string,
): Result<Report, CtlError> {
	return result.map(({version, changed}) => ({
		value: {version, changed},
		lines: [
			changed
				? `${subject}: accepted as version ${version}`
				: `${subject}: already so in version ${version}`,
		],
	}));
}
