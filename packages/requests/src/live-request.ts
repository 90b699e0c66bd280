import type {Choice, Claim, RequestArrived} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds, type Route} from '@parsleyvale/shared';

/** What a request waits for. */
export type Stage = 'rate' | 'claim' | 'place' | 'attempt';

/** What is known of a request that has passed its first checks. */
export type RequestFacts = {
	readonly arrival: RequestArrived;
	readonly arrivedAt: Milliseconds;
	readonly route: Route;
	/** Undefined on routes open to all. */
	readonly customer: string | undefined;
	readonly deadline: Milliseconds;
};

/**
 * A request between its arrival and its end. A class, because spreading the
 * facts into an object literal dominated the profile of the request path.
 */
export class LiveRequest {
	readonly arrival: RequestArrived;
	readonly arrivedAt: Milliseconds;
	readonly route: Route;
	readonly customer: string | undefined;
	readonly deadline: Milliseconds;
	/** Servers that earlier attempts went to. */
	readonly avoid: string[] = [];
	stage: Stage = 'rate';
	/** Number of the latest attempt; 0 before the first. */
	attempt = 0;
	/** When the latest attempt was forwarded. */
	forwardedAt: Milliseconds = 0;
	/** The place of the running attempt. */
	choice: Choice | undefined = undefined;
	/** Whether an attempt that is over may have run. */
	mayHaveRun = false;
	/** Whether it holds a token of the customer's rate that is not yet spent. */
	hasToken = false;
	/** When that token was taken. */
	tokenAt: Milliseconds = 0;
	claim: Claim | undefined = undefined;
	isClaimed = false;
	/** When it stops to wait for a share of the rate. */
	shareDeadline: Milliseconds = 0;

	constructor(facts: RequestFacts) {
		this.arrival = facts.arrival;
		this.arrivedAt = facts.arrivedAt;
		this.route = facts.route;
		this.customer = facts.customer;
		this.deadline = facts.deadline;
	}
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
