export {
	Clock,
	ManualClock,
	minute,
	second,
	createManualClock,
	createSystemClock,
	type Milliseconds,
} from './clock.js';
export {connectionHeaders} from './hop-by-hop-headers.js';
export {ErrorKind} from './error-kind.js';
export {
	errorAnswers,
	GrpcStatus,
	getErrorAnswer,
	type ErrorResponse,
	type RetryAdvice,
} from './error-table.js';
export {toProblemLine, toProblems, type Problem} from './problem.js';
export {toRefusalBody, type RefusalBody} from './refusal-body.js';
export * from './schemas/names.js';
export * from './schemas/configuration.js';
export * from './schemas/settings.js';
