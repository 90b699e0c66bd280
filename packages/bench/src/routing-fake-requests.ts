import {
	Plugin,
	routerKey,
	type AttemptEnded,
	type Choice,
	type Context,
	type Kernel,
	type RequestArrived,
	type Router,
} from '@parsleyvale/kernel';
import {
	ErrorKind,
	type Milliseconds,
	type Route,
	type Server,
} from '@parsleyvale/shared';

/** A request that a region has no room for waits so long. */
const longestWait: Milliseconds = 250;

type Request = {
	readonly requestId: string;
	readonly arrivedAt: Milliseconds;
	readonly deadline: Milliseconds;
	readonly avoid: string[];
	choice: Choice | undefined;
	attempt: number;
};

/** What became of requests. */
export type Results = {
	readonly latencies: Milliseconds[];
	refused: number;
	failed: number;
	remote: number;
};

export function createResults(): Results {
	return {latencies: [], refused: 0, failed: 0, remote: 0};
}

export type SendListener = (
	requestId: string,
	attempt: number,
	server: Server,
) => void;

/** The least of a requests plug-in: it waits for room and retries. */
export class FakeRequestsPlugin extends Plugin {
	readonly #route: Route;
	readonly #results: Results;
	readonly #onSend: SendListener;
	readonly #requests = new Map<string, Request>();
	readonly #waiting = new Set<Request>();
	#router: Router | undefined;
	#region = '';

	constructor(route: Route, results: Results, onSend: SendListener) {
		super();
		this.#route = route;
		this.#results = results;
		this.#onSend = onSend;
	}

	get name(): string {
		return 'fake-requests';
	}

	install(kernel: Kernel): void {
		this.#router = kernel.inject(routerKey);
		this.#region = kernel.self.region;
		kernel.on('request-arrived', (event, context) => {
			this.#onArrived(event, context);
		});
		kernel.on('attempt-ended', (event, context) => {
			this.#onEnded(event, context);
		});
		kernel.on('room-changed', (_event, context) => {
			this.#retryWaiting(context);
		});
		kernel.on('tick', (_event, context) => {
			this.#refuseExpired(context);
		});
	}

	#onArrived(event: RequestArrived, context: Context): void {
		const request: Request = {
			requestId: event.requestId,
			arrivedAt: context.now,
			deadline: context.now + this.#route.deadlineMs,
			avoid: [],
			choice: undefined,
			attempt: 0,
		};
		this.#requests.set(request.requestId, request);
		this.#choosePlace(request, context);
	}

	/** Returns whether the request no longer waits. */
	#choosePlace(request: Request, context: Context): boolean {
		const result = this.#router!.chooseServer(
			{
				requestId: request.requestId,
				route: this.#route,
				customer: undefined,
				bodyBytes: 0,
				deadline: request.deadline,
				excludedServers: request.avoid,
			},
			context,
		);
		if (result.isErr) {
			return this.#onNoPlace(request, result.error, context);
		}

		const {server} = result.value;
		request.choice = result.value;
		request.attempt++;
		this.#waiting.delete(request);
		this.#results.remote += server.region === this.#region ? 0 : 1;
		this.#router!.startAttempt(result.value, context);
		this.#onSend(request.requestId, request.attempt, server);
		return true;
	}

	#onNoPlace(request: Request, kind: ErrorKind, context: Context): boolean {
		const isPatient = context.now - request.arrivedAt < longestWait;
		if (kind === ErrorKind.NoRoom && isPatient) {
			this.#waiting.add(request);
			return false;
		}

		this.#results.refused++;
		this.#remove(request, context);
		return true;
	}

	#onEnded(event: AttemptEnded, context: Context): void {
		const request = this.#requests.get(event.requestId);
		if (request?.choice === undefined || event.attempt !== request.attempt) {
			return;
		}

		const {choice} = request;
		request.choice = undefined;
		this.#router!.endAttempt(choice, event, context);
		if (event.outcome === 'answered') {
			this.#results.latencies.push(context.now - request.arrivedAt);
			this.#remove(request, context);
			return;
		}

		request.avoid.push(choice.server.name);
		const canRetry =
			context.now < request.deadline &&
			this.#router!.takeRetry(this.#route, context);
		if (canRetry) {
			this.#choosePlace(request, context);
			return;
		}

		this.#results.failed++;
		this.#remove(request, context);
	}

	#retryWaiting(context: Context): void {
		for (const request of this.#waiting) {
			if (!this.#choosePlace(request, context)) {
				return;
			}
		}
	}

	#refuseExpired(context: Context): void {
		for (const request of this.#waiting) {
			if (context.now - request.arrivedAt >= longestWait) {
				this.#results.refused++;
				this.#remove(request, context);
			}
		}
	}

	#remove(request: Request, context: Context): void {
		this.#waiting.delete(request);
		this.#requests.delete(request.requestId);
		context.raise({
			type: 'request-ended',
			requestId: request.requestId,
			kind: undefined,
		});
	}
}
