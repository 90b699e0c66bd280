import {ErrorKind} from './error-kind.js';
import {second, type Milliseconds} from './clock.js';

/** How a caller may retry after an error. */
export type RetryAdvice =
	/** Retrying fails again. */
	| 'never'
	/** Safe after the delay, at this or another entry host. */
	| 'after-delay'
	/** Safe immediately at another entry host. */
	| 'other-host'
	/** Safe only with the same Idempotency-Key or if the request is idempotent. */
	| 'same-idempotency-key';

/** Status codes of the gRPC protocol. */
export enum GrpcStatus {
	Cancelled = 1,
	Unknown = 2,
	InvalidArgument = 3,
	DeadlineExceeded = 4,
	NotFound = 5,
	AlreadyExists = 6,
	PermissionDenied = 7,
	ResourceExhausted = 8,
	FailedPrecondition = 9,
	Aborted = 10,
	Unimplemented = 12,
	Internal = 13,
	Unavailable = 14,
	Unauthenticated = 16,
}

/** The response for a kind of error. */
export type ErrorResponse = {
	readonly httpStatus: number;
	readonly grpcStatus: GrpcStatus;
	/**
	 * True only if no backend server can have started the request. False makes
	 * no statement.
	 */
	readonly notRun: boolean;
	readonly retry: RetryAdvice;
	readonly retryAfter: Milliseconds | undefined;
	readonly message: string;
};

const defaultRetryDelay: Milliseconds = second;

type ErrorResponseFields = readonly [
	httpStatus: number,
	grpcStatus: GrpcStatus,
	execution: 'not run' | 'may have run',
	retry: RetryAdvice,
	message: string,
];

function createErrorResponse(...fields: ErrorResponseFields): ErrorResponse {
	const [httpStatus, grpcStatus, execution, retry, message] = fields;
	return {
		httpStatus,
		grpcStatus,
		notRun: execution === 'not run',
		retry,
		retryAfter: retry === 'after-delay' ? defaultRetryDelay : undefined,
		message,
	};
}

/** The response for each kind of error. */
export const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
	[ErrorKind.MalformedRequest]: createErrorResponse(
		400,
		GrpcStatus.InvalidArgument,
		'not run',
		'never',
		'The request breaks the rules of HTTP. Correct it before sending it again.',
	),
	[ErrorKind.NoRoute]: createErrorResponse(
		404,
		GrpcStatus.NotFound,
		'not run',
		'never',
		'No route matches this path.',
	),
	[ErrorKind.MethodNotAllowed]: createErrorResponse(
		405,
		GrpcStatus.Unimplemented,
		'not run',
		'never',
		'The route does not take this method.',
	),
	[ErrorKind.KeyMissing]: createErrorResponse(
		401,
		GrpcStatus.Unauthenticated,
		'not run',
		'never',
		'The route needs a key. Send it once, as Authorization: Bearer.',
	),
	[ErrorKind.KeyUnknown]: createErrorResponse(
		401,
		GrpcStatus.Unauthenticated,
		'not run',
		'never',
		'The key is not known.',
	),
	[ErrorKind.KeyWithdrawn]: createErrorResponse(
		401,
		GrpcStatus.Unauthenticated,
		'not run',
		'never',
		'The key has been withdrawn. Ask the operators for a new one.',
	),
	[ErrorKind.KeysNotFresh]: createErrorResponse(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'other-host',
		'This entry host cannot tell which keys are withdrawn. Use another entry host.',
	),
	[ErrorKind.NotConfigured]: createErrorResponse(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'other-host',
		'This entry host has no configuration yet. Use another entry host.',
	),
	[ErrorKind.Stopping]: createErrorResponse(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'other-host',
		'This entry host is stopping. Use another entry host.',
	),
	[ErrorKind.RateExceeded]: createErrorResponse(
		429,
		GrpcStatus.ResourceExhausted,
		'not run',
		'after-delay',
		'The customer is over its rate.',
	),
	[ErrorKind.ShareUnavailable]: createErrorResponse(
		429,
		GrpcStatus.ResourceExhausted,
		'not run',
		'other-host',
		"This entry host's share of the customer's rate is used up.",
	),
	[ErrorKind.NoRoom]: createErrorResponse(
		503,
		GrpcStatus.ResourceExhausted,
		'not run',
		'after-delay',
		'No region has room for the request.',
	),
	[ErrorKind.NoServer]: createErrorResponse(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'after-delay',
		'No backend server can take the request.',
	),
	[ErrorKind.DeadlineTooShort]: createErrorResponse(
		504,
		GrpcStatus.DeadlineExceeded,
		'not run',
		'never',
		'The request cannot be answered within its deadline.',
	),
	[ErrorKind.DeadlineExceeded]: createErrorResponse(
		504,
		GrpcStatus.DeadlineExceeded,
		'may have run',
		'same-idempotency-key',
		'The deadline passed while a backend server may have been at work.',
	),
	[ErrorKind.RequestTooLarge]: createErrorResponse(
		413,
		GrpcStatus.InvalidArgument,
		'not run',
		'never',
		'The header or the target of the request is too large.',
	),
	[ErrorKind.DuplicateInProgress]: createErrorResponse(
		409,
		GrpcStatus.Aborted,
		'may have run',
		'same-idempotency-key',
		'A request with this Idempotency-Key is running.',
	),
	[ErrorKind.DuplicateCompleted]: createErrorResponse(
		409,
		GrpcStatus.AlreadyExists,
		'may have run',
		'never',
		'A request with this Idempotency-Key has been sent to a backend server before.',
	),
	[ErrorKind.IdempotencyKeyReused]: createErrorResponse(
		422,
		GrpcStatus.InvalidArgument,
		'not run',
		'never',
		'The Idempotency-Key belongs to a different request. Choose a new one.',
	),
	[ErrorKind.ClaimUnavailable]: createErrorResponse(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'after-delay',
		'It cannot be known now whether this Idempotency-Key was used before.',
	),
	[ErrorKind.ServerRefused]: createErrorResponse(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'after-delay',
		'The backend servers refused the request before running it.',
	),
	[ErrorKind.RequestBlocked]: createErrorResponse(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'after-delay',
		'This request has crashed several backend servers. It is not sent to another one for now.',
	),
	[ErrorKind.OutcomeUnknown]: createErrorResponse(
		502,
		GrpcStatus.Unknown,
		'may have run',
		'same-idempotency-key',
		'A backend server may have run the request; its outcome is unknown.',
	),
	[ErrorKind.AnswerCut]: createErrorResponse(
		502,
		GrpcStatus.Unknown,
		'may have run',
		'same-idempotency-key',
		'The answer of the backend server was cut off or was not for this request.',
	),
	[ErrorKind.CallerGone]: createErrorResponse(
		499,
		GrpcStatus.Cancelled,
		'may have run',
		'same-idempotency-key',
		'The caller went away.',
	),
	[ErrorKind.VersionConflict]: createErrorResponse(
		409,
		GrpcStatus.Aborted,
		'not run',
		'never',
		'Another operator changed the configuration. Read it and apply again.',
	),
	[ErrorKind.InvalidConfiguration]: createErrorResponse(
		422,
		GrpcStatus.InvalidArgument,
		'not run',
		'never',
		'The configuration is not valid.',
	),
	[ErrorKind.NotAuthorized]: createErrorResponse(
		403,
		GrpcStatus.PermissionDenied,
		'not run',
		'never',
		'The credentials do not allow this.',
	),
	[ErrorKind.NotFound]: createErrorResponse(
		404,
		GrpcStatus.NotFound,
		'not run',
		'never',
		'There is no such object.',
	),
	[ErrorKind.StoreUnavailable]: createErrorResponse(
		503,
		GrpcStatus.Unavailable,
		'may have run',
		'after-delay',
		'The platform does not answer.',
	),
	[ErrorKind.Internal]: createErrorResponse(
		500,
		GrpcStatus.Internal,
		'may have run',
		'same-idempotency-key',
		'The system failed.',
	),
};

/**
 * Returns the response for a kind of error.
 *
 * @example
 * getErrorResponse(ErrorKind.RateExceeded).httpStatus; // 429
 */
export function getErrorResponse(kind: ErrorKind): ErrorResponse {
	return errorResponses[kind];
}
