/** Why a request to the object API got no usable response. */
export enum StoreError {
	/** No connection was established: the request did not reach the store. */
	NotReached = 'not-reached',
	/** The store rejected the request before executing it. */
	Refused = 'refused',
	/** The request was sent, but no complete response arrived. */
	NoAnswer = 'no-answer',
	/** The response is not valid JSON or does not match the schema. */
	MalformedAnswer = 'malformed-answer',
}

/** Code of the error that is raised if a connection is not established in time. */
export const connectTimeoutCode = 'CONNECT_TIMEOUT';

const notReachedCodes: ReadonlySet<unknown> = new Set([
	'ECONNREFUSED',
	connectTimeoutCode,
]);

/** Classifies an error of Node's HTTP client. */
export function toStoreError(error: unknown): StoreError {
	const code =
		error instanceof Error && 'code' in error ? error.code : undefined;
	return notReachedCodes.has(code)
		? StoreError.NotReached
		: StoreError.NoAnswer;
}
