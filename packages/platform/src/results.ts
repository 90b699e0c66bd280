/** An object in the platform's store. */
export type StoredObject = {
	readonly name: string;
	readonly version: number;
	readonly value: unknown;
};

/** The result of reading an object. */
export type ReadResult =
	| {readonly kind: 'found'; readonly object: StoredObject}
	| {readonly kind: 'missing'}
	| {readonly kind: 'failed'};

/** The result of a conditional write or delete. */
export type WriteResult =
	| {readonly kind: 'written'; readonly version: number}
	| {readonly kind: 'conflict'}
	/** The request was sent, but no valid response came: the change may have been made. */
	| {readonly kind: 'unknown'}
	/** The store was not reached or rejected the request: nothing was changed. */
	| {readonly kind: 'failed'};
