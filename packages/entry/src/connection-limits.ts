import type {Milliseconds} from '@parsleyvale/shared';

/** Limits on what one connection or address of callers may occupy. */
export type ConnectionLimits = {
	readonly connectionsPerAddress: number;
	/** In each period of this length, the rest of a request must advance by `minimumBytesPerSecond`. */
	readonly bodyProgressPeriod: Milliseconds;
	readonly minimumBytesPerSecond: number;
	/** In each period of this length, a caller must read some of a response that waits for it. */
	readonly responseProgressPeriod: Milliseconds;
	/** How long and how much of the rest of a refused request is read, so that the caller gets the refusal. */
	readonly refusedRestDuration: Milliseconds;
	readonly refusedRestBytes: number;
};

/**
 * No caller inside the documented limits meets these: hundreds may share an address,
 * connections are idle for up to 15 s, and no deadline is longer than 20 s.
 */
export const defaultConnectionLimits: ConnectionLimits = {
	connectionsPerAddress: 1024,
	bodyProgressPeriod: 15_000,
	minimumBytesPerSecond: 64,
	responseProgressPeriod: 60_000,
	refusedRestDuration: 2000,
	refusedRestBytes: 1024 * 1024,
};

export type ConnectionLimitName =
	| 'connections-per-address'
	| 'head-timeout'
	| 'body-progress'
	| 'response-progress'
	| 'refused-rest'
	| 'announced-length'
	| 'held-bytes-refused'
	| 'held-bytes-closed';
