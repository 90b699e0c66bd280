/** An object as the platform's store holds it. */
export type StoredObject = {
	readonly name: string;
	readonly version: number;
	readonly value: unknown;
};

/** How reading an object ended. */
export type ReadResult =
	| {readonly kind: 'found'; readonly object: StoredObject}
	| {readonly kind: 'missing'}
	| {readonly kind: 'failed'};

/** How a conditional change of an object ended. */
export type WriteResult =
	| {readonly kind: 'written'; readonly version: number}
	| {readonly kind: 'conflict'}
	/** The store was asked and did not answer: it may have been written. */
	| {readonly kind: 'unknown'}
	/** The store was not reached or refused: nothing was written. */
	| {readonly kind: 'failed'};
