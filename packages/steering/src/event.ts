import type {Milliseconds, RequestId} from '@parsleyvale/shared';
import type {Digest} from './messages/digest.js';
import type {
	BackendServer,
	SteeringConfiguration,
	SteeringHost,
} from './model.js';
import type {StorePosition} from './store-position.js';

/** How an attempt at a backend server ended. */
export type SteeringOutcome =
	/** A complete answer was received. */
	| 'answered'
	/** No byte of the request was written to the server. */
	| 'not-sent'
	/** The server reported that it did not run the request. */
	| 'not-run'
	/** The address belongs to another server, which did not run the request. */
	| 'wrong-server'
	/** The server may have run the request; no complete answer was received. */
	| 'unknown';

/** Load as stated by a server in a response. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	/** Undefined: not stated. */
	readonly slots: number | undefined;
	/** How long work takes on the server's machine at present, as a percentage of the usual time; undefined: not stated. */
	readonly workTimePercent: number | undefined;
};

/** The rate limit that a response of a server states. */
export type ReportedRateLimit = {
	/** Requests that the server takes from all hosts together; undefined: it states no limit. */
	readonly requestsPerSecond: number | undefined;
};

/** A caller's request, with as much of its body read as is buffered. */
export type SteeringArrival = {
	readonly type: 'request-arrived';
	readonly requestId: RequestId;
	/** The caller's own id of the request, for logs; not necessarily unique. */
	readonly callerId: string | undefined;
	readonly hostName: string;
	/** Path of the target without the query. */
	readonly path: string;
	/** SHA-256 of the key, in hexadecimal; undefined if none was sent. */
	readonly keyHash: string | undefined;
	/** Affinity key: the same for all requests for an object. */
	readonly affinity: string | undefined;
	readonly bodyBytes: number;
	/** Whether the whole body is buffered, so that it can be sent again; otherwise it is streamed to the first server. */
	readonly isBodyBuffered: boolean;
	/** The same when the request is sent again: hash of method, host name, target and body, in hexadecimal. */
	readonly fingerprint: string;
	/** When the first byte was read, on this host's clock. */
	readonly arrivedAt: Milliseconds;
	/** Time for which the caller waits for an answer; undefined: not stated. */
	readonly timeLeft: Milliseconds | undefined;
};

export type SteeringAttemptEnded = {
	readonly type: 'attempt-ended';
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly outcome: SteeringOutcome;
	/** HTTP status of the answer, if a complete one was received. */
	readonly status: number | undefined;
	/** Whether the answer is buffered until `deliver`; otherwise it was already sent to the caller. */
	readonly isAnswerBuffered: boolean;
	/** Whether the request body is still buffered, so that it can be sent again. */
	readonly isReplayable: boolean;
	readonly load: ReportedLoad | undefined;
	/** Undefined: no response, or one whose limit cannot be read. */
	readonly rateLimit: ReportedRateLimit | undefined;
	/** Round trip time of a new connection; undefined on a reused one. */
	readonly connectTime: Milliseconds | undefined;
	/** Length of the received response body. */
	readonly responseBytes: number;
	/** Whether the server closed the connection without any response, as it does when it crashes. */
	readonly wasConnectionLost: boolean;
	/** Why no complete response was received, for logs. */
	readonly reason?: string | undefined;
};

export type SteeringEvent =
	| SteeringArrival
	| SteeringAttemptEnded
	/** The first bytes of an answer that is not buffered are sent to the caller. */
	| {
			readonly type: 'answer-started';
			readonly requestId: RequestId;
			readonly attempt: number;
	  }
	/** The caller closed its connection. */
	| {readonly type: 'request-cancelled'; readonly requestId: RequestId}
	/** The configuration was read from the store or fetched from another host. */
	| {
			readonly type: 'configuration-read';
			readonly configuration: SteeringConfiguration;
			/** Time since the version was last confirmed to be the newest; undefined: not known. */
			readonly confirmationAge: Milliseconds | undefined;
	  }
	/** The current configuration was still the newest. */
	| {
			readonly type: 'configuration-confirmed';
			readonly version: number;
			/** Time since the version was confirmed. */
			readonly confirmationAge: Milliseconds;
	  }
	| {
			readonly type: 'store-answered';
			/** Time for which the store held the call open, and was reachable. */
			readonly heldDuration: Milliseconds;
	  }
	/** A call to the store failed. */
	| {readonly type: 'store-failed'; readonly reason: string}
	/** All servers and all evacuated failure domains, at their positions of the store. */
	| {
			readonly type: 'fleet-listed';
			readonly position: StorePosition;
			readonly servers: readonly BackendServer[];
			/** Position of the evacuated failure domains. */
			readonly evacuationsPosition: StorePosition;
			readonly evacuated: readonly string[];
	  }
	| {readonly type: 'hosts-listed'; readonly hosts: readonly SteeringHost[]}
	/** This host's entry was written to the store. */
	| {readonly type: 'host-entry-written'; readonly era: number}
	| {
			readonly type: 'digest-received';
			readonly digest: Digest;
			/** Time for which it may have waited at this host before it was read; undefined: none. */
			readonly maximumQueueTime?: Milliseconds;
	  }
	| {
			readonly type: 'look-up-arrived';
			readonly lookUpId: RequestId;
			readonly region: string;
			readonly failureDomain: string;
	  }
	/** The process was suspended: state that counted as fresh may be outdated. */
	| {readonly type: 'suspended'}
	| {readonly type: 'stop-requested'}
	| {readonly type: 'tick'};

export type SteeringEventOf<Type extends SteeringEvent['type']> = Extract<
	SteeringEvent,
	{type: Type}
>;
