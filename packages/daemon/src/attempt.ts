import type {ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import type {
	AttemptEnded,
	AttemptOutcome,
	Forward,
	KernelEvent,
} from '@parsleyvale/kernel';
import type {Clock, Milliseconds} from '@parsleyvale/shared';
import {toCallerHeaders} from './answer-header.js';
import type {RequestBody} from './request-body.js';

type Headers = Readonly<Record<string, string | string[] | undefined>>;

export type AttemptOptions = {
	readonly forward: Forward;
	readonly response: ServerResponse;
	readonly body: RequestBody;
	readonly method: string;
	readonly clock: Clock;
	readonly onEvent: (event: KernelEvent) => void;
};

const firstFinalStatus = 200;
const statusOfRefusal = 503;
const statusesWithoutBody = new Set([204, 304]);

/** One attempt at a backend server, as undici tells of its course. */
export class Attempt implements Dispatcher.DispatchHandler {
	readonly #options: AttemptOptions;
	#controller: Dispatcher.DispatchController | undefined;
	#startedAt: Milliseconds | undefined;
	#latency: Milliseconds | undefined;
	#status: number | undefined;
	#reportedLoad: number | undefined;
	#bytes = 0;
	#isCancelled = false;
	#isEnded = false;
	/** Set when the answer must not reach the caller. */
	#verdict: AttemptOutcome | undefined;

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
	): void {
		if (status < firstFinalStatus) {
			return;
		}

		this.#status = status;
		this.#latency = this.#options.clock.now() - this.#startedAt!;
		this.#reportedLoad = parseLoad(headers['x-load']);
		this.#verdict = this.#judge(status, headers);
		if (this.#verdict === 'cut') {
			controller.abort(new Error('The answer is not for this request.'));
			return;
		}

		if (this.#verdict === undefined) {
			this.#writeHead(status, headers);
		}
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		this.#bytes += chunk.length;
		const {response} = this.#options;
		if (this.#verdict !== undefined || response.write(chunk)) {
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
		if (this.#verdict === undefined) {
			this.#writeEnd(trailers);
		}

		this.#end(this.#verdict ?? 'answered');
	}

	onResponseError(): void {
		this.#end(this.#toFailure());
	}

	#judge(status: number, headers: Headers): AttemptOutcome | undefined {
		const {forward, method} = this.#options;
		if (headers['x-request-id'] !== forward.requestId) {
			return 'cut';
		}

		if (status === statusOfRefusal && headers['x-not-run'] === 'true') {
			return 'refused';
		}

		// An answer that ends with its connection may have been cut unseen.
		const isFramed =
			method === 'HEAD' ||
			statusesWithoutBody.has(status) ||
			headers['content-length'] !== undefined ||
			headers['transfer-encoding'] !== undefined;
		return isFramed ? undefined : 'cut';
	}

	#writeHead(status: number, headers: Headers): void {
		const {response, forward} = this.#options;
		const fields = toCallerHeaders(headers);
		fields['x-request-id'] = forward.requestId;
		response.writeHead(status, fields);
	}

	#writeEnd(trailers: Headers): void {
		const {response} = this.#options;
		const names = Object.keys(trailers);
		if (names.length > 0 && !response.hasHeader('content-length')) {
			response.addTrailers(trailers);
		}

		response.end();
	}

	#toFailure(): AttemptOutcome {
		if (this.#startedAt === undefined) {
			return 'not-sent';
		}

		if (this.#verdict !== undefined) {
			return this.#verdict;
		}

		if (this.#isCancelled) {
			return 'cancelled';
		}

		return this.#status === undefined ? 'unknown' : 'cut';
	}

	#end(outcome: AttemptOutcome): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		const {forward, response, body, onEvent} = this.#options;
		const ended: AttemptEnded = {
			type: 'attempt-ended',
			requestId: forward.requestId,
			attempt: forward.attempt,
			outcome,
			status: this.#status,
			latency: this.#latency,
			bytes: this.#bytes,
			repeatable: !response.headersSent && body.isRepeatable,
			reportedLoad: this.#reportedLoad,
		};
		onEvent(ended);
	}
}

function parseLoad(value: string | string[] | undefined): number | undefined {
	const load = typeof value === 'string' ? Number(value) : Number.NaN;
	return Number.isFinite(load) && load >= 0 ? load : undefined;
}
