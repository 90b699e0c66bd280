import type {ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import type {
	AttemptEnded,
	AttemptOutcome,
	Forward,
	KernelEvent,
} from '@parsleyvale/kernel';
import {
	hasStatusLine,
	type Clock,
	type Milliseconds,
} from '@parsleyvale/shared';
import {toCallerHeaders} from './response-headers.js';
import type {RequestBody} from './request-body.js';

type Headers = Readonly<Record<string, string | string[] | undefined>>;

export type AttemptOptions = {
	readonly forward: Pick<Forward, 'requestId' | 'attempt'>;
	readonly response: ServerResponse;
	readonly body: RequestBody;
	readonly method: string;
	readonly clock: Clock;
	readonly onEvent: (event: KernelEvent) => void;
};

const firstFinalStatus = 200;
const refusalStatus = 503;
const statusesWithoutBody = new Set([204, 304]);

/** An attempt to send a request to a backend server; handles undici's events. */
export class Attempt implements Dispatcher.DispatchHandler {
	readonly #options: AttemptOptions;
	#controller: Dispatcher.DispatchController | undefined;
	#startedAt: Milliseconds | undefined;
	#latency: Milliseconds | undefined;
	#status: number | undefined;
	#reportedLoad: number | undefined;
	#receivedBytes = 0;
	#isCancelled = false;
	#isEnded = false;
	/** Outcome of a response that must not be passed on to the caller. */
	#rejection: AttemptOutcome | undefined;

	constructor(options: AttemptOptions) {
		this.#options = options;
	}

	cancel(): void {
		this.#isCancelled = true;
		this.#controller?.abort(new Error('The attempt was cancelled.'));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isCancelled) {
			controller.abort(new Error('The attempt was cancelled before it began.'));
			return;
		}

		const {clock, forward, onEvent} = this.#options;
		this.#startedAt = clock.now();
		const {requestId, attempt} = forward;
		onEvent({type: 'attempt-started', requestId, attempt});
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		headers: Headers,
		statusMessage = '',
	): void {
		if (status < firstFinalStatus) {
			return;
		}

		this.#status = status;
		this.#latency = this.#options.clock.now() - this.#startedAt!;
		this.#reportedLoad = parseLoad(headers['x-load']);
		this.#rejection = isMerged(headers, statusMessage)
			? 'cut'
			: this.#checkResponse(status, headers);
		if (this.#rejection === 'cut') {
			controller.abort(
				new Error(
					'The response has a wrong request ID, is close-delimited or begins with another one.',
				),
			);
			return;
		}

		if (this.#rejection === undefined) {
			this.#writeHead(status, headers);
		}
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		this.#receivedBytes += chunk.length;
		const {response} = this.#options;
		if (this.#rejection !== undefined || response.write(chunk)) {
			return;
		}

		controller.pause();
		response.once('drain', () => {
			controller.resume();
		});
	}

	onResponseEnd(
		_controller: Dispatcher.DispatchController,
		trailers: Headers,
	): void {
		if (this.#rejection === undefined) {
			this.#endResponse(trailers);
		}

		this.#reportEnd(this.#rejection ?? 'answered');
	}

	onResponseError(): void {
		this.#reportEnd(this.#toFailureOutcome());
	}

	#checkResponse(status: number, headers: Headers): AttemptOutcome | undefined {
		const {forward, method} = this.#options;
		if (headers['x-request-id'] !== forward.requestId) {
			return 'cut';
		}

		if (status === refusalStatus && headers['x-not-run'] === 'true') {
			return 'refused';
		}

		// The truncation of a close-delimited response could not be detected.
		const isFramed =
			method === 'HEAD' ||
			statusesWithoutBody.has(status) ||
			headers['content-length'] !== undefined ||
			headers['transfer-encoding'] !== undefined;
		return isFramed ? undefined : 'cut';
	}

	#writeHead(status: number, headers: Headers): void {
		const {response, forward} = this.#options;
		const responseHeaders = toCallerHeaders(headers);
		responseHeaders['x-request-id'] = forward.requestId;
		response.writeHead(status, responseHeaders);
	}

	#endResponse(trailers: Headers): void {
		const {response} = this.#options;
		const trailerNames = Object.keys(trailers);
		if (trailerNames.length > 0 && !response.hasHeader('content-length')) {
			response.addTrailers(trailers);
		}

		response.end();
	}

	#toFailureOutcome(): AttemptOutcome {
		if (this.#startedAt === undefined) {
			return 'not-sent';
		}

		if (this.#rejection !== undefined) {
			return this.#rejection;
		}

		if (this.#isCancelled) {
			return 'cancelled';
		}

		return this.#status === undefined ? 'unknown' : 'cut';
	}

	#reportEnd(outcome: AttemptOutcome): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		const {forward, response, body, onEvent} = this.#options;
		const event: AttemptEnded = {
			type: 'attempt-ended',
			requestId: forward.requestId,
			attempt: forward.attempt,
			outcome,
			status: this.#status,
			latency: this.#latency,
			bytes: this.#receivedBytes,
			repeatable: !response.headersSent && body.isRepeatable,
			reportedLoad: this.#reportedLoad,
		};
		onEvent(event);
	}
}

function parseLoad(value: string | string[] | undefined): number | undefined {
	const load = typeof value === 'string' ? Number(value) : Number.NaN;
	return Number.isFinite(load) && load >= 0 ? load : undefined;
}

/**
 * Whether a server broke off a head, so that its status and the headers of the
 * next response form one. The client refuses all other forms of such a head.
 */
function isMerged(headers: Headers, statusMessage: string): boolean {
	return [statusMessage, ...Object.values(headers).flat()].some(
		(text) => text !== undefined && hasStatusLine(text),
	);
}
