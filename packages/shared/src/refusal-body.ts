import type {ErrorKind} from './error-kind.js';
import {getErrorResponse} from './error-table.js';
import type {RequestId} from './schemas/names.js';

/** Response body of every refusal; documented in `docs/CALLERS.md`. */
export type RefusalBody = {
	readonly kind: ErrorKind;
	readonly notRun: boolean;
	readonly retry: string;
	readonly message: string;
	readonly requestId: RequestId | undefined;
};

/**
 * Creates the response body for an error.
 *
 * @example
 * toRefusalBody(ErrorKind.NoRoute, 'r-1').notRun; // true
 */
export function toRefusalBody(
	kind: ErrorKind,
	requestId: RequestId | undefined,
): RefusalBody {
	const {notRun, retry, message} = getErrorResponse(kind);
	return {kind, notRun, retry, message, requestId};
}
