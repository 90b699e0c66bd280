import type {Choice, Claim, RequestArrived} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds, type Route} from '@parsleyvale/shared';

/** What a request waits for. */
export type Stage = 'rate' | 'claim' | 'place' | 'attempt';

/** A request between its arrival and its end. */
export type LiveRequest = {
	readonly arrival: RequestArrived;
	readonly arrivedAt: Milliseconds;
	readonly route: Route;
	/** Undefined on routes open to all. */
	readonly customer: string | undefined;
	readonly deadline: Milliseconds;
	stage: Stage;
	/** Number of the latest attempt; 0 before the first. */
	attempt: number;
	/** When the latest attempt was forwarded. */
	forwardedAt: Milliseconds;
	/** The place of the running attempt. */
	choice: Choice | undefined;
	/** Servers that earlier attempts went to. */
	readonly avoid: string[];
	/** Whether an attempt that is over may have run. */
	mayHaveRun: boolean;
	/** Whether it holds a token of the customer's rate that is not yet spent. */
	hasToken: boolean;
	claim: Claim | undefined;
	isClaimed: boolean;
	/** When it stops to wait for a share of the rate. */
	shareDeadline: Milliseconds;
};

/** A request that has passed its first checks. */
export function createLiveRequest(
	fields: Pick<
		LiveRequest,
		'arrival' | 'arrivedAt' | 'route' | 'customer' | 'deadline'
	>,
): LiveRequest {
	return {
		...fields,
		stage: 'rate',
		attempt: 0,
		forwardedAt: 0,
		choice: undefined,
		avoid: [],
		mayHaveRun: false,
		hasToken: false,
		claim: undefined,
		isClaimed: false,
		shareDeadline: 0,
	};
}

const kindsOfWaiting: Readonly<Record<Stage, ErrorKind>> = {
	rate: ErrorKind.ShareUnavailable,
	claim: ErrorKind.ClaimUnavailable,
	place: ErrorKind.NoRoom,
	attempt: ErrorKind.DeadlineExceeded,
};

/** The error of a request whose deadline passes in this stage. */
export function toKindOfWaiting(stage: Stage): ErrorKind {
	return kindsOfWaiting[stage];
}
