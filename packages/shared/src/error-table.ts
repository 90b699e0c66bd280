import {ErrorKind} from './error-kind.js';
import {second, type Milliseconds} from './clock.js';

/** What a caller should do after an error. */
export type RetryAdvice =
	/** The same request will fail again. */
	| 'never'
	/** Safe after the delay, here or at another entry host. */
	| 'after-delay'
	/** Safe at once at another entry host. */
	| 'other-host'
	/** Only with the same Idempotency-Key, or when the request is idempotent. */
	| 'same-idempotency-key';

/** Status codes of gRPC, as its protocol numbers them. */
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

/** The answer that goes with one kind of error. */
export type ErrorAnswer = {
	readonly httpStatus: number;
	readonly grpcStatus: GrpcStatus;
	/**
	 * True only where no backend server can have begun the request. False means
	 * that nothing is said about it.
	 */
	readonly notRun: boolean;
	readonly retry: RetryAdvice;
	readonly retryAfter: Milliseconds | undefined;
	readonly message: string;
};

const retrySoon: Milliseconds = second;

type Refusal = readonly [
	httpStatus: number,
	grpcStatus: GrpcStatus,
	notRun: 'not run' | 'may have run',
	retry: RetryAdvice,
	message: string,
];

function createAnswer(...refusal: Refusal): ErrorAnswer {
	const [httpStatus, grpcStatus, notRun, retry, message] = refusal;
	return {
		httpStatus,
		grpcStatus,
		notRun: notRun === 'not run',
		retry,
		retryAfter: retry === 'after-delay' ? retrySoon : undefined,
		message,
	};
}

/** The table from error kind to answer. */
export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
	[ErrorKind.MalformedRequest]: createAnswer(
		400,
		GrpcStatus.InvalidArgument,
		'not run',
		'never',
		'The request breaks the rules of HTTP. Correct it before sending it again.',
	),
	[ErrorKind.NoRoute]: createAnswer(
		404,
		GrpcStatus.NotFound,
		'not run',
		'never',
		'No route matches this path.',
	),
	[ErrorKind.MethodNotAllowed]: createAnswer(
		405,
		GrpcStatus.Unimplemented,
		'not run',
		'never',
		'The route does not take this method.',
	),
	[ErrorKind.KeyMissing]: createAnswer(
		401,
		GrpcStatus.Unauthenticated,
		'not run',
		'never',
		'The route needs a key. Send it once, as Authorization: Bearer.',
	),
	[ErrorKind.KeyUnknown]: createAnswer(
		401,
		GrpcStatus.Unauthenticated,
		'not run',
		'never',
		'The key is not known.',
	),
	[ErrorKind.KeyWithdrawn]: createAnswer(
		401,
		GrpcStatus.Unauthenticated,
		'not run',
		'never',
		'The key has been withdrawn. Ask the operators for a new one.',
	),
	[ErrorKind.KeysNotFresh]: createAnswer(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'other-host',
		'This entry host cannot tell which keys are withdrawn. Use another entry host.',
	),
	[ErrorKind.NotConfigured]: createAnswer(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'other-host',
		'This entry host has no configuration yet. Use another entry host.',
	),
	[ErrorKind.Stopping]: createAnswer(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'other-host',
		'This entry host is stopping. Use another entry host.',
	),
	[ErrorKind.RateExceeded]: createAnswer(
		429,
		GrpcStatus.ResourceExhausted,
		'not run',
		'after-delay',
		'The customer is over its rate.',
	),
	[ErrorKind.ShareUnavailable]: createAnswer(
		429,
		GrpcStatus.ResourceExhausted,
		'not run',
		'other-host',
		"This entry host's share of the customer's rate is used up.",
	),
	[ErrorKind.NoRoom]: createAnswer(
		503,
		GrpcStatus.ResourceExhausted,
		'not run',
		'after-delay',
		'No region has room for the request.',
	),
	[ErrorKind.NoServer]: createAnswer(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'after-delay',
		'No backend server can take the request.',
	),
	[ErrorKind.DeadlineTooShort]: createAnswer(
		504,
		GrpcStatus.DeadlineExceeded,
		'not run',
		'never',
		'The request cannot be answered within its deadline.',
	),
	[ErrorKind.DeadlineExceeded]: createAnswer(
		504,
		GrpcStatus.DeadlineExceeded,
		'may have run',
		'same-idempotency-key',
		'The deadline passed while a backend server may have been at work.',
	),
	[ErrorKind.RequestTooLarge]: createAnswer(
		413,
		GrpcStatus.InvalidArgument,
		'not run',
		'never',
		'The header or the target of the request is too large.',
	),
	[ErrorKind.DuplicateInProgress]: createAnswer(
		409,
		GrpcStatus.Aborted,
		'may have run',
		'same-idempotency-key',
		'A request with this Idempotency-Key is running.',
	),
	[ErrorKind.DuplicateCompleted]: createAnswer(
		409,
		GrpcStatus.AlreadyExists,
		'may have run',
		'never',
		'A request with this Idempotency-Key has been sent to a backend server before.',
	),
	[ErrorKind.IdempotencyKeyReused]: createAnswer(
		422,
		GrpcStatus.InvalidArgument,
		'not run',
		'never',
		'The Idempotency-Key belongs to a different request. Choose a new one.',
	),
	[ErrorKind.ClaimUnavailable]: createAnswer(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'after-delay',
		'It cannot be known now whether this Idempotency-Key was used before.',
	),
	[ErrorKind.ServerRefused]: createAnswer(
		503,
		GrpcStatus.Unavailable,
		'not run',
		'after-delay',
		'The backend servers refused the request before running it.',
	),
	[ErrorKind.OutcomeUnknown]: createAnswer(
		502,
		GrpcStatus.Unknown,
		'may have run',
		'same-idempotency-key',
		'A backend server may have run the request; its outcome is unknown.',
	),
	[ErrorKind.AnswerCut]: createAnswer(
		502,
		GrpcStatus.Unknown,
		'may have run',
		'same-idempotency-key',
		'The answer of the backend server was cut off or was not for this request.',
	),
	[ErrorKind.CallerGone]: createAnswer(
		499,
		GrpcStatus.Cancelled,
		'may have run',
		'same-idempotency-key',
		'The caller went away.',
	),
	[ErrorKind.VersionConflict]: createAnswer(
		409,
		GrpcStatus.Aborted,
		'not run',
		'never',
		'Another operator changed the configuration. Read it and apply again.',
	),
	[ErrorKind.InvalidConfiguration]: createAnswer(
		422,
		GrpcStatus.InvalidArgument,
		'not run',
		'never',
		'The configuration is not valid.',
	),
	[ErrorKind.NotAuthorized]: createAnswer(
		403,
		GrpcStatus.PermissionDenied,
		'not run',
		'never',
		'The credentials do not allow this.',
	),
	[ErrorKind.NotFound]: createAnswer(
		404,
		GrpcStatus.NotFound,
		'not run',
		'never',
		'There is no such object.',
	),
	[ErrorKind.StoreUnavailable]: createAnswer(
		503,
		GrpcStatus.Unavailable,
		'may have run',
		'after-delay',
		'The platform does not answer.',
	),
	[ErrorKind.Internal]: createAnswer(
		500,
		GrpcStatus.Internal,
		'may have run',
		'same-idempotency-key',
		'The system failed.',
	),
};

/**
 * The answer to an error of this kind.
 *
 * @example
 * getErrorAnswer(ErrorKind.RateExceeded).httpStatus; // 429
 */
export function getErrorAnswer(kind: ErrorKind): ErrorAnswer {
	return errorAnswers[kind];
}
