import type {Milliseconds, RequestId} from '@parsleyvale/shared';
import type {Digest} from './digest.js';
import type {
	BackendServer,
	SteeringConfiguration,
	SteeringHost,
} from './model.js';

/** How an attempt at a backend server ended. */
export type SteeringOutcome =
	/** A whole answer came. */
	| 'answered'
	/** No byte of the request was written to the server. */
	| 'not-sent'
	/** The server said that it did not run the request. */
	| 'not-run'
	/** The address belongs to another server, which did not run the request. */
	| 'wrong-server'
	/** The server may have run the request; no whole answer came. */
	| 'unknown';

/** Requests that a server said were running and waiting. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
};

/** A caller's request, its body read as far as it is kept. */
export type SteeringArrival = {
	readonly type: 'request-arrived';
	readonly requestId: RequestId;
	/** The caller's own id of the request, for logs; it may come twice. */
	readonly callerId: string | undefined;
	readonly hostName: string;
	/** Path of the target without the query. */
	readonly path: string;
	/** SHA-256 of the key, in hexadecimal; undefined when none came. */
	readonly keyHash: string | undefined;
	/** Requests for the same object carry the same one. */
	readonly affinity: string | undefined;
	readonly bodyBytes: number;
	/** When its first byte was read, on this host's clock. */
	readonly arrivedAt: Milliseconds;
	/** How long the caller will wait; undefined: it did not say. */
	readonly timeLeft: Milliseconds | undefined;
};

export type SteeringAttemptEnded = {
	readonly type: 'attempt-ended';
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly outcome: SteeringOutcome;
	/** HTTP status of the answer, where a whole one came. */
	readonly status: number | undefined;
	/** Whether the answer waits for `deliver`; else it has gone out already. */
	readonly isHeld: boolean;
	/** Whether the body is still there to be sent again. */
	readonly isRepeatable: boolean;
	readonly load: ReportedLoad | undefined;
	/** Round trip of a new connection; undefined on a kept one. */
	readonly connectTime: Milliseconds | undefined;
};

export type SteeringEvent =
	| SteeringArrival
	| SteeringAttemptEnded
	/** The caller closed its connection. */
	| {readonly type: 'request-cancelled'; readonly requestId: RequestId}
	/** The store, or a host that had it from there, told the configuration. */
	| {
			readonly type: 'configuration-read';
			readonly configuration: SteeringConfiguration;
			/** Since when it may have been replaced; undefined: not known. */
			readonly age: Milliseconds | undefined;
	  }
	/** The configuration in force was still the newest one. */
	| {
			readonly type: 'configuration-confirmed';
			readonly version: number;
			readonly age: Milliseconds;
	  }
	| {readonly type: 'store-answered'}
	/** A call to the store failed. */
	| {readonly type: 'store-failed'; readonly reason: string}
	/** All servers at a revision of the store, and all evacuated failure domains. */
	| {
			readonly type: 'fleet-listed';
			readonly revision: number;
			readonly servers: readonly BackendServer[];
			/** Revision that the evacuated failure domains show. */
			readonly evacuationsRevision: number;
			readonly evacuated: readonly string[];
	  }
	| {readonly type: 'hosts-listed'; readonly hosts: readonly SteeringHost[]}
	| {readonly type: 'digest-received'; readonly digest: Digest}
	| {
			readonly type: 'look-up-arrived';
			readonly lookUpId: RequestId;
			readonly region: string;
			readonly failureDomain: string;
	  }
	/** The process stood still: what it held to be fresh may be old. */
	| {readonly type: 'suspended'}
	| {readonly type: 'stop-requested'}
	| {readonly type: 'tick'};

export type SteeringEventOf<Type extends SteeringEvent['type']> = Extract<
	SteeringEvent,
	{type: Type}
>;
