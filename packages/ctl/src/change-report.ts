import type {Result} from 'true-myth';
import type {ChangeOutcome} from './change-configuration.js';
import type {Report} from './command-context.js';
import type {CtlError} from './ctl-error.js';

/** Creates the report on a change of one object. */
export function createChangeReport(
	result: Result<ChangeOutcome, CtlError>,
	subject: string,
): Result<Report, CtlError> {
	return result.map(({version, changed}) => ({
		value: {version, changed},
		lines: [
			changed
				? `${subject}: accepted as version ${version}`
				: `${subject}: no change; version ${version} is up to date`,
		],
	}));
}
