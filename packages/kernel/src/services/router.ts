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

export type RoutingRequest = {
	readonly requestId: RequestId;
	readonly route: Route;
	readonly customer: string | undefined;
	readonly bodyBytes: number | undefined;
	readonly deadline: Milliseconds;
	/** Servers that earlier attempts went to. */
	readonly excludedServers: readonly string[];
};

/** A place for one attempt; what it holds is given back by `end`. */
export type Choice = {
	readonly server: Server;
	/** Budgets taken for the attempt. */
	readonly heldAmounts: ReadonlyArray<{
		readonly budgetId: string;
		readonly amount: number;
	}>;
};

export type AttemptEnding = Pick<
	AttemptEnded,
	'outcome' | 'status' | 'latency' | 'bytes' | 'reportedLoad'
>;

/** Chooses region, failure domain and backend server, with their budgets. */
export abstract class Router {
	/**
	 * A place with room, its budgets taken. Errors: no-room (wait for
	 * `room-changed`, or refuse), no-server, deadline-too-short.
	 */
	abstract choose(
		request: RoutingRequest,
		context: Context,
	): Result<Choice, ErrorKind>;

	/** The first byte is about to be written. */
	abstract start(choice: Choice, context: Context): void;

	/** The attempt is over; called once for every choice. */
	abstract end(choice: Choice, ending: AttemptEnding, context: Context): void;

	/** Whether the retry budget allows one more attempt; spends it if so. */
	abstract takeRetry(route: Route, context: Context): boolean;
}

export const routerKey = createServiceKey<Router>('router');
