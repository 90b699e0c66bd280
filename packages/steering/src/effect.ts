import type {ErrorKind, Milliseconds, RequestId} from '@parsleyvale/shared';
import type {Digest} from './messages/digest.js';
import type {BackendServer, SteeringHost} from './model.js';

/** Value of a field in a log line. */
export type LogValue = string | number | boolean | undefined;

export type SteeringEffect =
	/** Send the request to the server as the given attempt. */
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
	/** Send the buffered answer of the attempt to the caller. */
	| {
			readonly type: 'deliver';
			readonly requestId: RequestId;
			readonly attempt: number;
	  }
	| {
			readonly type: 'refuse';
			readonly requestId: RequestId;
			readonly kind: ErrorKind;
			/** Overrides the default retry delay of the error kind. */
			readonly retryAfter: Milliseconds | undefined;
	  }
	/** Close the attempt's connection, so that the server stops processing. */
	| {
			readonly type: 'cancel-attempt';
			readonly requestId: RequestId;
			readonly attempt: number;
	  }
	| {
			readonly type: 'answer-look-up';
			readonly lookUpId: RequestId;
			/** Addresses at which callers connect. */
			readonly callers: readonly string[];
	  }
	| {
			readonly type: 'send-digest';
			readonly to: ReadonlyArray<
				Pick<SteeringHost, 'peerAddress' | 'peerPort'>
			>;
			readonly digest: Digest;
	  }
	/** Start or stop reading from the store. */
	| {readonly type: 'set-reading'; readonly isReading: boolean}
	/** Fetch the newer configuration or server lists of another host. */
	| {
			readonly type: 'fetch-copy';
			readonly name: string;
			readonly address: string;
			readonly port: number;
	  }
	/** Write this host's entry to the store. */
	| {readonly type: 'write-host-entry'}
	/** Remove another host's expired entry from the store. */
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
			/** Decides which lines are kept when the log drops some; `belief` marks changes of the host's state. */
			readonly priority: 'request' | 'failure' | 'belief';
			readonly message: string;
			readonly fields: Readonly<Record<string, LogValue>>;
	  };
