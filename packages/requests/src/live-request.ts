import type {Choice, Claim, RequestArrived} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds, type Route} from '@parsleyvale/shared';

/** Step of the request path that a request has reached. */
export type RequestStage = 'rate' | 'claim' | 'place' | 'attempt';

/** Properties of a request that are fixed when it passes the arrival checks. */
export type LiveRequestOptions = {
	readonly arrival: RequestArrived;
	readonly arrivedAt: Milliseconds;
	readonly route: Route;
	/** Undefined on public routes. */
	readonly customer: string | undefined;
	readonly deadline: Milliseconds;
};

/**
 * A request in flight on this entry host. A class, as creating it by object spread
 * is too slow on the request path.
 */
export class LiveRequest {
	readonly arrival: RequestArrived;
	readonly arrivedAt: Milliseconds;
	readonly route: Route;
	readonly customer: string | undefined;
	/** When the request times out, or when the host stops if that is earlier. */
	deadline: Milliseconds;
	/** Names of the servers that earlier attempts were sent to. */
	readonly triedServers: string[] = [];
	stage: RequestStage = 'rate';
	/** Number of the latest attempt; 0 before the first one. */
	attempt = 0;
	/** When the latest attempt was forwarded. */
	forwardedAt: Milliseconds = 0;
	/** Router's choice for the attempt in flight. */
	choice: Choice | undefined = undefined;
	/** Whether a backend server may have executed an earlier attempt. */
	mayHaveRun = false;
	/** Whether it holds an unspent token of the customer's rate. */
	hasToken = false;
	/** When the token was taken. */
	tokenTakenAt: Milliseconds = 0;
	claim: Claim | undefined = undefined;
	isClaimed = false;
	/** When it stops waiting for a share of the rate. */
	shareDeadline: Milliseconds = 0;

	constructor(options: LiveRequestOptions) {
		this.arrival = options.arrival;
		this.arrivedAt = options.arrivedAt;
		this.route = options.route;
		this.customer = options.customer;
		this.deadline = options.deadline;
	}
}

const timeoutKinds: Readonly<Record<RequestStage, ErrorKind>> = {
	rate: ErrorKind.ShareUnavailable,
	claim: ErrorKind.ClaimUnavailable,
	place: ErrorKind.NoRoom,
	attempt: ErrorKind.DeadlineExceeded,
};

/** Error kind of a request whose deadline passes in this stage. */
export function toTimeoutKind(stage: RequestStage): ErrorKind {
	return timeoutKinds[stage];
}
