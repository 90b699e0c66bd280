import type {
	Configuration,
	EntryHost,
	ErrorKind,
	Milliseconds,
	RequestId,
	VersionedConfiguration,
} from '@parsleyvale/shared';

/** How an attempt at a backend server ended. */
export type AttemptOutcome =
	/** The whole answer went to the caller. */
	| 'answered'
	/** No byte of the request was written to the server. */
	| 'not-sent'
	/** The server said, by its own "not run" refusal, that it did not begin. */
	| 'refused'
	/** The server may have run the request; no whole answer came. */
	| 'unknown'
	/** The answer was cut, late, extra or not for this request. */
	| 'cut'
	/** The caller went away and the attempt was cancelled. */
	| 'cancelled';

/** A caller's request, its header read, its body not yet. */
export type RequestArrived = {
	readonly type: 'request-arrived';
	readonly requestId: RequestId;
	readonly method: string;
	/** Path of the target without the query. */
	readonly path: string;
	/** SHA-256 of the key in hexadecimal; undefined when none came. */
	readonly keyHash: string | undefined;
	readonly callerAddress: string;
	readonly idempotencyKey: string | undefined;
	/** SHA-256 over method, target and, where known, length of the body. */
	readonly fingerprint: string;
	/** Length of the body in bytes, where the caller said it. */
	readonly bodyBytes: number | undefined;
	/** The caller's own deadline on this host's clock. */
	readonly deadline: Milliseconds | undefined;
};

/** The first byte of the request is about to be written to the server. */
export type AttemptStarted = {
	readonly type: 'attempt-started';
	readonly requestId: RequestId;
	readonly attempt: number;
};

export type AttemptEnded = {
	readonly type: 'attempt-ended';
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly outcome: AttemptOutcome;
	/** HTTP status of the server, where one came. */
	readonly status: number | undefined;
	/** From sending to the first byte of the answer. */
	readonly latency: Milliseconds | undefined;
	/** Bytes to and from the server, bodies only. */
	readonly bytes: number;
	/** Whether nothing has gone to the caller and the body can be sent again. */
	readonly repeatable: boolean;
	/** Load that the server reported in its answer: requests in flight. */
	readonly reportedLoad: number | undefined;
};

export type RequestCancelled = {
	readonly type: 'request-cancelled';
	readonly requestId: RequestId;
};

/** A caller asks which entry hosts to use. */
export type LookUpArrived = {
	readonly type: 'look-up-arrived';
	readonly lookUpId: RequestId;
	readonly keyHash: string | undefined;
	readonly callerAddress: string;
};

/** Comes several times a second; carries all that is done by time. */
export type Tick = {readonly type: 'tick'};

/** The process has been told to stop gracefully. */
export type StopRequested = {readonly type: 'stop-requested'};

/** Look-up answers that named this host have run out: new requests end. */
export type IntakeClosed = {readonly type: 'intake-closed'};

/** Which process of an entry host speaks. */
export type PeerIdentity = {
	readonly name: string;
	readonly incarnation: string;
};

/** A message of a plug-in of another entry host; the payload is not trusted. */
export type PeerMessage = {
	readonly type: 'peer-message';
	readonly from: PeerIdentity;
	readonly topic: string;
	readonly payload: unknown;
};

/** The peer could not be reached; what was sent may or may not have arrived. */
export type PeerUnreachable = {
	readonly type: 'peer-unreachable';
	readonly name: string;
};

/** An object as the platform's store holds it. */
export type StoredObject = {
	readonly name: string;
	readonly version: number;
	readonly value: unknown;
};

export type ObjectRead = {
	readonly type: 'object-read';
	readonly operationId: string;
	readonly name: string;
	readonly result:
		| {readonly kind: 'found'; readonly object: StoredObject}
		| {readonly kind: 'missing'}
		| {readonly kind: 'failed'};
};

export type ObjectWritten = {
	readonly type: 'object-written';
	readonly operationId: string;
	readonly name: string;
	readonly result:
		| {readonly kind: 'written'; readonly version: number}
		| {readonly kind: 'conflict'}
		/** The store was asked and did not answer: it may have been written. */
		| {readonly kind: 'unknown'}
		/** The store was not reached: nothing was written. */
		| {readonly kind: 'failed'};
};

/** A watch tells of an object; it may lag and may repeat. */
export type ObjectChanged = {
	readonly type: 'object-changed';
	readonly object: StoredObject;
};

/** The platform's lagging list of live and leaving entry hosts. */
export type HostsListed = {
	readonly type: 'hosts-listed';
	readonly hosts: readonly EntryHost[];
};

/** An operator's tool proposes a whole configuration. */
export type ConfigurationProposed = {
	readonly type: 'configuration-proposed';
	readonly operationId: string;
	readonly expectedVersion: number;
	readonly configuration: Configuration;
};

/** An operator withdraws a key. */
export type KeyWithdrawalRequested = {
	readonly type: 'key-withdrawal-requested';
	readonly operationId: string;
	readonly keyName: string;
};

/** Raised inside: a newer configuration is in force on this host. */
export type ConfigurationChanged = {
	readonly type: 'configuration-changed';
	readonly current: VersionedConfiguration;
};

/** Raised inside: the entry hosts taken as live have changed. */
export type MembersChanged = {
	readonly type: 'members-changed';
	readonly members: readonly EntryHost[];
};

/** Raised inside: this host may take from a budget that had run out. */
export type BudgetChanged = {
	readonly type: 'budget-changed';
	readonly budgetId: string;
};

/** Raised inside: a pool may have room again. */
export type RoomChanged = {
	readonly type: 'room-changed';
	readonly pool: string;
};

/** Raised inside: a request ended; kind is undefined when it was answered. */
export type RequestEnded = {
	readonly type: 'request-ended';
	readonly requestId: RequestId;
	readonly kind: ErrorKind | undefined;
};

export type KernelEvent =
	| RequestArrived
	| AttemptStarted
	| AttemptEnded
	| RequestCancelled
	| LookUpArrived
	| Tick
	| StopRequested
	| IntakeClosed
	| PeerMessage
	| PeerUnreachable
	| ObjectRead
	| ObjectWritten
	| ObjectChanged
	| HostsListed
	| ConfigurationProposed
	| KeyWithdrawalRequested
	| ConfigurationChanged
	| MembersChanged
	| BudgetChanged
	| RoomChanged
	| RequestEnded;

export type EventType = KernelEvent['type'];

export type EventOf<Type extends EventType> = Extract<
	KernelEvent,
	{type: Type}
>;
