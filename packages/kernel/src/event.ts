import type {
	Configuration,
	EntryHost,
	ErrorKind,
	Milliseconds,
	RequestId,
	VersionedConfiguration,
} from '@parsleyvale/shared';

/** Outcome of an attempt at a backend server. */
export type AttemptOutcome =
	/** The complete response was sent to the caller. */
	| 'answered'
	/** No byte of the request was written to the server. */
	| 'not-sent'
	/** The server refused the request and stated that it did not run it. */
	| 'refused'
	/** No complete response arrived; the server may have run the request. */
	| 'unknown'
	/** The response was truncated, late, unexpected or for another request. */
	| 'cut'
	/** The attempt was cancelled because the caller disconnected. */
	| 'cancelled';

/** The header of a caller's request was read, its body not yet. */
export type RequestArrived = {
	readonly type: 'request-arrived';
	readonly requestId: RequestId;
	readonly method: string;
	/** Path of the request target, without the query. */
	readonly path: string;
	/** SHA-256 of the key in hexadecimal; undefined if no key was sent. */
	readonly keyHash: string | undefined;
	readonly callerAddress: string;
	readonly idempotencyKey: string | undefined;
	/** SHA-256 of the method, the target and, if known, the length of the body. */
	readonly fingerprint: string;
	/** Length of the body, if the caller declared it. */
	readonly bodyBytes: number | undefined;
	/** The deadline that the caller set, on this host's clock. */
	readonly deadline: Milliseconds | undefined;
};

/** The first byte of the request is about to be written to the server. */
export type AttemptStarted = {
	readonly type: 'attempt-started';
	readonly requestId: RequestId;
	readonly attempt: number;
};

/** An attempt is over, with its outcome and measurements. */
export type AttemptEnded = {
	readonly type: 'attempt-ended';
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly outcome: AttemptOutcome;
	/** HTTP status of the server's response, if one arrived. */
	readonly status: number | undefined;
	/** Time from sending the request to the first byte of the response. */
	readonly latency: Milliseconds | undefined;
	/** Body bytes sent to and received from the server. */
	readonly bytes: number;
	/** Whether nothing was sent to the caller and the body can be replayed. */
	readonly repeatable: boolean;
	/** Requests in flight on the server, as reported in its response. */
	readonly reportedLoad: number | undefined;
};

/** The caller disconnected before the request ended. */
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

/** Sent several times a second; drives all work that depends on time. */
export type Tick = {readonly type: 'tick'};

/** A graceful stop of the process was requested. */
export type StopRequested = {readonly type: 'stop-requested'};

/**
 * All look-up answers that name this host have expired; it stops accepting
 * requests.
 */
export type IntakeClosed = {
	readonly type: 'intake-closed';
	/** When open requests end at the latest; undefined: each at its own deadline. */
	readonly deadline?: Milliseconds;
};

/** The process of an entry host that sent a message. */
export type PeerIdentity = {
	readonly name: string;
	readonly incarnation: string;
};

/** A message from a plug-in of another entry host; the payload is untrusted. */
export type PeerMessage = {
	readonly type: 'peer-message';
	readonly from: PeerIdentity;
	readonly topic: string;
	readonly payload: unknown;
};

/** The peer is unreachable; messages sent to it may or may not have arrived. */
export type PeerUnreachable = {
	readonly type: 'peer-unreachable';
	readonly name: string;
};

/** An object with its version in the platform's store. */
export type StoredObject = {
	readonly name: string;
	readonly version: number;
	readonly value: unknown;
};

/** Result of a `read-object` effect. */
export type ObjectRead = {
	readonly type: 'object-read';
	readonly operationId: string;
	readonly name: string;
	readonly result:
		| {readonly kind: 'found'; readonly object: StoredObject}
		| {readonly kind: 'missing'}
		| {readonly kind: 'failed'};
};

/** Result of a `write-object` effect. */
export type ObjectWritten = {
	readonly type: 'object-written';
	readonly operationId: string;
	readonly name: string;
	readonly result:
		| {readonly kind: 'written'; readonly version: number}
		| {readonly kind: 'conflict'}
		/** The store did not answer: the object may have been written. */
		| {readonly kind: 'unknown'}
		/** The store could not be reached: nothing was written. */
		| {readonly kind: 'failed'};
};

/** A watched object has changed; may be delayed or repeated. */
export type ObjectChanged = {
	readonly type: 'object-changed';
	readonly object: StoredObject;
};

/** The platform's list of live and leaving entry hosts, which may be stale. */
export type HostsListed = {
	readonly type: 'hosts-listed';
	readonly hosts: readonly EntryHost[];
};

/** An operator proposes a complete configuration. */
export type ConfigurationProposed = {
	readonly type: 'configuration-proposed';
	readonly operationId: string;
	readonly expectedVersion: number;
	readonly configuration: Configuration;
};

/** An operator requests the withdrawal of a key. */
export type KeyWithdrawalRequested = {
	readonly type: 'key-withdrawal-requested';
	readonly operationId: string;
	readonly keyName: string;
};

/** Raised by a plug-in: a newer configuration took effect on this host. */
export type ConfigurationChanged = {
	readonly type: 'configuration-changed';
	readonly current: VersionedConfiguration;
};

/** Raised by a plug-in: the set of live entry hosts has changed. */
export type MembersChanged = {
	readonly type: 'members-changed';
	readonly members: readonly EntryHost[];
};

/** Raised by a plug-in: an exhausted budget may be available again. */
export type BudgetChanged = {
	readonly type: 'budget-changed';
	readonly budgetId: string;
};

/** Raised by a plug-in: a pool may have free capacity again. */
export type RoomChanged = {
	readonly type: 'room-changed';
	readonly pool: string;
};

/** Raised by a plug-in: a request ended. */
export type RequestEnded = {
	readonly type: 'request-ended';
	readonly requestId: RequestId;
	/** Undefined if the request was answered. */
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
