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

/** How long a request waits if no server has capacity for it. */
const maxWait: Milliseconds = 250;

type Request = {
	readonly requestId: string;
	readonly arrivedAt: Milliseconds;
	readonly deadline: Milliseconds;
	readonly excludedServers: string[];
	choice: Choice | undefined;
	attempt: number;
};

/** Outcomes of requests. */
export type RequestResults = {
	readonly latencies: Milliseconds[];
	refused: number;
	failed: number;
	crossRegion: number;
};

export function createResults(): RequestResults {
	return {latencies: [], refused: 0, failed: 0, crossRegion: 0};
}

export type SendListener = (
	requestId: string,
	attempt: number,
	server: Server,
) => void;

/** A minimal stand-in for the requests plug-in that only queues and retries requests. */
export class FakeRequestsPlugin extends Plugin {
	readonly #route: Route;
	readonly #results: RequestResults;
	readonly #onSend: SendListener;
	readonly #requests = new Map<string, Request>();
	readonly #waitingRequests = new Set<Request>();
	#router: Router | undefined;
	#region = '';

	constructor(route: Route, results: RequestResults, onSend: SendListener) {
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
			this.#onAttemptEnded(event, context);
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
			excludedServers: [],
			choice: undefined,
			attempt: 0,
		};
		this.#requests.set(request.requestId, request);
		this.#sendToServer(request, context);
	}

	/** Sends the request to a server or refuses it; returns false if it has to wait for capacity. */
	#sendToServer(request: Request, context: Context): boolean {
		const result = this.#router!.chooseServer(
			{
				requestId: request.requestId,
				route: this.#route,
				customer: undefined,
				bodyBytes: 0,
				deadline: request.deadline,
				triedServers: request.excludedServers,
			},
			context,
		);
		if (result.isErr) {
			return this.#onNoServer(request, result.error, context);
		}

		const {server} = result.value;
		request.choice = result.value;
		request.attempt++;
		this.#waitingRequests.delete(request);
		this.#results.crossRegion += server.region === this.#region ? 0 : 1;
		this.#router!.startAttempt(result.value, context);
		this.#onSend(request.requestId, request.attempt, server);
		return true;
	}

	#onNoServer(
		request: Request,
		errorKind: ErrorKind,
		context: Context,
	): boolean {
		const canWait = context.now - request.arrivedAt < maxWait;
		if (errorKind === ErrorKind.NoRoom && canWait) {
			this.#waitingRequests.add(request);
			return false;
		}

		this.#results.refused++;
		this.#endRequest(request, context);
		return true;
	}

	#onAttemptEnded(event: AttemptEnded, context: Context): void {
		const request = this.#requests.get(event.requestId);
		if (request?.choice === undefined || event.attempt !== request.attempt) {
			return;
		}

		const {choice} = request;
		request.choice = undefined;
		this.#router!.endAttempt(choice, event, context);
		if (event.outcome === 'answered') {
			this.#results.latencies.push(context.now - request.arrivedAt);
			this.#endRequest(request, context);
			return;
		}

		request.excludedServers.push(choice.server.name);
		const canRetry =
			context.now < request.deadline &&
			this.#router!.takeRetry(this.#route, context);
		if (canRetry) {
			this.#sendToServer(request, context);
			return;
		}

		this.#results.failed++;
		this.#endRequest(request, context);
	}

	#retryWaiting(context: Context): void {
		for (const request of this.#waitingRequests) {
			if (!this.#sendToServer(request, context)) {
				return;
			}
		}
	}

	#refuseExpired(context: Context): void {
		for (const request of this.#waitingRequests) {
			if (context.now - request.arrivedAt >= maxWait) {
				this.#results.refused++;
				this.#endRequest(request, context);
			}
		}
	}

	#endRequest(request: Request, context: Context): void {
		this.#waitingRequests.delete(request);
		this.#requests.delete(request.requestId);
		context.raise({
			type: 'request-ended',
			requestId: request.requestId,
			kind: undefined,
		});
	}
}
