import type {ErrorKind, Milliseconds, RequestId} from '@parsleyvale/shared';
import type {Digest} from './digest.js';
import type {BackendServer, SteeringHost} from './model.js';

/** A value of a log line or of a metric's label. */
export type LogValue = string | number | boolean | undefined;

export type SteeringEffect =
	/** Send the request to this server, as this attempt. */
	| {
			readonly type: 'forward';
			readonly requestId: RequestId;
			readonly attempt: number;
			readonly server: BackendServer;
			/** Undefined on public routes. */
			readonly customer: string | undefined;
			readonly deadline: Milliseconds;
			readonly isIdempotent: boolean;
	  }
	/** Give the held answer of this attempt to the caller. */
	| {
			readonly type: 'deliver';
			readonly requestId: RequestId;
			readonly attempt: number;
	  }
	| {
			readonly type: 'refuse';
			readonly requestId: RequestId;
			readonly kind: ErrorKind;
			/** Overrides the advice of the table. */
			readonly retryAfter: Milliseconds | undefined;
	  }
	/** Close the attempt's connection, so that the server stops work. */
	| {
			readonly type: 'cancel-attempt';
			readonly requestId: RequestId;
			readonly attempt: number;
	  }
	| {
			readonly type: 'answer-look-up';
			readonly lookUpId: RequestId;
			/** Where callers connect. */
			readonly callers: readonly string[];
	  }
	| {
			readonly type: 'send-digest';
			readonly to: ReadonlyArray<
				Pick<SteeringHost, 'peerAddress' | 'peerPort'>
			>;
			readonly digest: Digest;
	  }
	/** Follow the store, or leave that to other hosts. */
	| {readonly type: 'set-reading'; readonly isReading: boolean}
	/** Another host knows something newer: get its copy. */
	| {
			readonly type: 'fetch-copy';
			readonly name: string;
			readonly address: string;
			readonly port: number;
	  }
	/** Another host's entry in the store is of no more use. */
	| {readonly type: 'remove-host-entry'; readonly name: string}
	| {
			readonly type: 'count';
			readonly name: string;
			readonly labels: Readonly<Record<string, string>>;
	  }
	| {
			readonly type: 'observe';
			readonly name: string;
			readonly labels: Readonly<Record<string, string>>;
			readonly value: number;
	  }
	| {
			readonly type: 'log';
			/** Which of these lines are kept when not all can be. */
			readonly weight: 'request' | 'failure' | 'belief';
			readonly message: string;
			readonly fields: Readonly<Record<string, LogValue>>;
	  };
