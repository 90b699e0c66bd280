import type {
	ErrorKind,
	Milliseconds,
	RequestId,
	Route,
	Server,
} from '@parsleyvale/shared';
import type {Result} from 'true-myth';
import type {Context} from '../context.js';
import type {AttemptEnded} from '../event.js';
import {createServiceKey} from '../service-key.js';

/** A request for which a backend server is to be chosen. */
export type RoutingRequest = {
	readonly requestId: RequestId;
	readonly route: Route;
	readonly customer: string | undefined;
	readonly bodyBytes: number | undefined;
	readonly deadline: Milliseconds;
	/** Servers to which earlier attempts were sent. */
	readonly triedServers: readonly string[];
};

/** The server chosen for an attempt; its budgets are released at its end. */
export type Choice = {
	readonly server: Server;
	/** Budgets taken for the attempt. */
	readonly heldAmounts: ReadonlyArray<{
		readonly budgetId: string;
		readonly amount: number;
	}>;
};

/** The result of an attempt that updates server statistics. */
export type AttemptResult = Pick<
	AttemptEnded,
	'outcome' | 'status' | 'latency' | 'bytes' | 'reportedLoad'
>;

/** Chooses the region, failure domain and backend server of each attempt. */
export abstract class Router {
	/**
	 * Chooses a server with free capacity and takes its budgets. Errors: no-room
	 * (wait for `room-changed`, or refuse), no-server, deadline-too-short.
	 */
	abstract chooseServer(
		request: RoutingRequest,
		context: Context,
	): Result<Choice, ErrorKind>;

	/** Records that the first byte is about to be sent. */
	abstract startAttempt(choice: Choice, context: Context): void;

	/** Records the result of the attempt; called exactly once for every choice. */
	abstract endAttempt(
		choice: Choice,
		result: AttemptResult,
		context: Context,
	): void;

	/** Takes a retry from the budget; returns whether the retry is allowed. */
	abstract takeRetry(route: Route, context: Context): boolean;
}

export const routerKey = createServiceKey<Router>('router');
