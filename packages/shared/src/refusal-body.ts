import type {ErrorKind} from './error-kind.js';
import {getErrorAnswer} from './error-table.js';
import type {RequestId} from './schemas/names.js';

/** The body of every refusal; `docs/CALLERS.md` describes it. */
export type RefusalBody = {
	readonly kind: ErrorKind;
	readonly notRun: boolean;
	readonly retry: string;
	readonly message: string;
	readonly requestId: RequestId | undefined;
};

/**
 * The body that goes with an error.
 *
 * @example
 * toRefusalBody(ErrorKind.NoRoute, 'r-1').notRun; // true
 */
export function toRefusalBody(
	kind: ErrorKind,
	requestId: RequestId | undefined,
): RefusalBody {
	const {notRun, retry, message} = getErrorAnswer(kind);
	return {kind, notRun, retry, message, requestId};
}
