import type {
	EntryHost,
	ErrorKind,
	Milliseconds,
	Problem,
	RequestId,
	Route,
	Server,
} from '@parsleyvale/shared';

/** Sends the request to a server as the given attempt, within the deadline. */
export type Forward = {
	readonly type: 'forward';
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly server: Server;
	readonly route: Route;
	/** Undefined on routes that require no key. */
	readonly customer: string | undefined;
	readonly deadline: Milliseconds;
};

/** Answers the caller with the response of the error table for `kind`. */
export type Refuse = {
	readonly type: 'refuse';
	readonly requestId: RequestId;
	readonly kind: ErrorKind;
	/** Overrides the retry delay of the error table. */
	readonly retryAfter: Milliseconds | undefined;
};

/** Aborts an attempt; the server is notified if its protocol supports this. */
export type CancelAttempt = {
	readonly type: 'cancel-attempt';
	readonly requestId: RequestId;
	readonly attempt: number;
};

/** Answers a look-up with the entry hosts to use. */
export type AnswerLookUp = {
	readonly type: 'answer-look-up';
	readonly lookUpId: RequestId;
	/** In order of preference. */
	readonly hosts: readonly EntryHost[];
	/** How long the caller may use the answer. */
	readonly lifetime: Milliseconds;
};

/**
 * Sends a message to another entry host. Delivery is best effort: messages may
 * be lost, duplicated, delayed or reordered.
 */
export type SendPeer = {
	readonly type: 'send-peer';
	readonly to: string;
	readonly topic: string;
	readonly payload: unknown;
};

/** Reads an object from the platform's store. */
export type ReadObject = {
	readonly type: 'read-object';
	readonly operationId: string;
	readonly name: string;
};

/** Writes an object if its version is the expected one; 0 creates it. */
export type WriteObject = {
	readonly type: 'write-object';
	readonly operationId: string;
	readonly name: string;
	readonly expectedVersion: number;
	readonly value: unknown;
};

/** Watches an object for changes; the daemon renews the watch. */
export type WatchObject = {
	readonly type: 'watch-object';
	readonly name: string;
};

/** Answers an operator's change of the configuration. */
export type AnswerOperator = {
	readonly type: 'answer-operator';
	readonly operationId: string;
	readonly result:
		| {readonly kind: 'accepted'; readonly version: number}
		| {
				readonly kind: 'refused';
				readonly error: ErrorKind;
				readonly version: number;
				readonly problems: readonly Problem[];
		  };
};

/** Labels of a metric; the set of values of each label is bounded. */
export type Labels = Readonly<Record<string, string>>;

/** Adds `by` to a counter. */
export type Count = {
	readonly type: 'count';
	readonly name: string;
	readonly labels: Labels;
	readonly by: number;
};

/** Records a value in a histogram. */
export type Observe = {
	readonly type: 'observe';
	readonly name: string;
	readonly labels: Labels;
	readonly value: number;
};

/** Logs a state change that is of interest to operators. */
export type Log = {
	readonly type: 'log';
	readonly level: 'error' | 'warn' | 'info' | 'debug';
	readonly message: string;
	readonly fields: Readonly<Record<string, string | number | boolean>>;
};

export type Effect =
	| Forward
	| Refuse
	| CancelAttempt
	| AnswerLookUp
	| SendPeer
	| ReadObject
	| WriteObject
	| WatchObject
	| AnswerOperator
	| Count
	| Observe
	| Log;

export type EffectType = Effect['type'];

export type EffectOf<Type extends EffectType> = Extract<Effect, {type: Type}>;
