import type {
	EntryHost,
	ErrorKind,
	Milliseconds,
	Problem,
	RequestId,
	Route,
	Server,
} from '@parsleyvale/shared';

/** Send the request to this server, as this attempt, within the deadline. */
export type Forward = {
	readonly type: 'forward';
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly server: Server;
	readonly route: Route;
	/** Undefined on routes open to all. */
	readonly customer: string | undefined;
	readonly deadline: Milliseconds;
};

/** Answer the caller with an error; its table entry says the rest. */
export type Refuse = {
	readonly type: 'refuse';
	readonly requestId: RequestId;
	readonly kind: ErrorKind;
	/** Overrides the advice of the table. */
	readonly retryAfter: Milliseconds | undefined;
};

/** Stop an attempt and tell the server, as far as its protocol can. */
export type CancelAttempt = {
	readonly type: 'cancel-attempt';
	readonly requestId: RequestId;
	readonly attempt: number;
};

export type AnswerLookUp = {
	readonly type: 'answer-look-up';
	readonly lookUpId: RequestId;
	/** Best first. */
	readonly hosts: readonly EntryHost[];
	readonly lifetime: Milliseconds;
};

/** Best effort: may be lost, repeated, delayed or reordered. */
export type SendPeer = {
	readonly type: 'send-peer';
	readonly to: string;
	readonly topic: string;
	readonly payload: unknown;
};

export type ReadObject = {
	readonly type: 'read-object';
	readonly operationId: string;
	readonly name: string;
};

/** Write if the object's version is the expected one; 0 means: create. */
export type WriteObject = {
	readonly type: 'write-object';
	readonly operationId: string;
	readonly name: string;
	readonly expectedVersion: number;
	readonly value: unknown;
};

/** Keep telling of an object; the daemon renews the watch. */
export type WatchObject = {
	readonly type: 'watch-object';
	readonly name: string;
};

/** The answer to an operator's change. */
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

/** Labels of a metric; every value comes from a bounded set. */
export type Labels = Readonly<Record<string, string>>;

export type Count = {
	readonly type: 'count';
	readonly name: string;
	readonly labels: Labels;
	readonly by: number;
};

export type Observe = {
	readonly type: 'observe';
	readonly name: string;
	readonly labels: Labels;
	readonly value: number;
};

/** A change of state that an operator should see. */
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
