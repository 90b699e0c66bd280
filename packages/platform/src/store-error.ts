/** Why a call to the object API gave no answer that can be used. */
export enum StoreError {
	/** No connection: the call has not reached the store. */
	NotReached = 'not-reached',
	/** The store refused the call before doing anything. */
	Refused = 'refused',
	/** The call was sent, and no whole answer came. */
	NoAnswer = 'no-answer',
	/** An answer came that the protocol does not know. */
	MalformedAnswer = 'malformed-answer',
}

/** Code of the error that a connection raises which does not stand in time. */
export const connectTimeoutCode = 'CONNECT_TIMEOUT';

const notReachedCodes: ReadonlySet<unknown> = new Set([
	'ECONNREFUSED',
	connectTimeoutCode,
]);

/** The kind of an error that Node's client raised. */
export function toStoreError(error: unknown): StoreError {
	const code =
		error instanceof Error && 'code' in error ? error.code : undefined;
	return notReachedCodes.has(code)
		? StoreError.NotReached
		: StoreError.NoAnswer;
}
