export {
	Clock,
	ManualClock,
	minute,
	second,
	createManualClock,
	createSystemClock,
	type Milliseconds,
} from './clock.js';
export {hopByHopHeaders} from './hop-by-hop-headers.js';
export {parseRequestTarget} from './request-target.js';
export {hasStatusLine} from './status-line.js';
export {ErrorKind} from './error-kind.js';
export {
	errorResponses,
	GrpcStatus,
	getErrorResponse,
	type ErrorResponse,
	type RetryAdvice,
} from './error-table.js';
export {formatProblem, toProblems, type Problem} from './problem.js';
export {toRefusalBody, type RefusalBody} from './refusal-body.js';
export * from './schemas/names.js';
export * from './schemas/configuration.js';
export * from './schemas/settings.js';
