import type {Buffer} from 'node:buffer';
import {
	ByteCharge,
	ByteCollector,
	type HeldBytesEntry,
} from '@parsleyvale/held-bytes';
import type {Milliseconds} from '@parsleyvale/shared';
import type {
	BackendServer,
	ReportedLoad,
	ReportedRateLimit,
	SteeringAttemptEnded,
	SteeringOutcome,
} from '@parsleyvale/steering';
import type {HeaderNames} from './header-names.js';
import type {ResponseHead} from './response-parser.js';
import {
	findRawHeader,
	ServerExchange,
	type ExchangeFailure,
} from './server-connection.js';

/** Responses up to this size are buffered until they are complete. */
const maximumBufferedBytes = 256 * 1024;
const misdirectedRequestStatus = 421;

/** A complete response that has not been sent to the caller yet. */
export type BufferedResponse = {
	readonly head: ResponseHead;
	readonly body: Buffer;
};

/** Receives the streamed response and the result of an attempt. */
export abstract class AttemptListener {
	/** The response exceeds the buffer and is streamed to the caller from here on. */
	abstract onStreamStart(
		attempt: Attempt,
		head: ResponseHead,
		firstBytes: Buffer,
	): void;
	abstract onStreamData(attempt: Attempt, chunk: Buffer): void;
	abstract onStreamEnd(attempt: Attempt): void;
	/** A streamed response was truncated. */
	abstract onStreamAborted(attempt: Attempt): void;
	abstract onEnded(attempt: Attempt, result: AttemptResult): void;
}

export type AttemptResult = Pick<
	SteeringAttemptEnded,
	| 'outcome'
	| 'status'
	| 'isAnswerBuffered'
	| 'load'
	| 'rateLimit'
	| 'connectTime'
	| 'responseBytes'
	| 'wasConnectionLost'
> & {readonly reason: string | undefined};

export type AttemptOptions = {
	readonly number: number;
	readonly server: BackendServer;
	readonly requestId: string | undefined;
	readonly isHead: boolean;
	readonly headerNames: HeaderNames;
	readonly listener: AttemptListener;
	/** Account entry of the caller's connection; undefined: the response is not accounted for. */
	readonly heldBytes?: HeldBytesEntry | undefined;
};

/** One attempt at a backend server: buffers the response and determines the outcome. */
export class Attempt extends ServerExchange {
	readonly #options: AttemptOptions;
	#connectTime: Milliseconds | undefined;
	#head: ResponseHead | undefined;
	readonly #collector = new ByteCollector();
	readonly #charge: ByteCharge;
	#bodyBytes = 0;
	#isStreaming = false;
	#hasEnded = false;

	constructor(options: AttemptOptions) {
		super();
		this.#options = options;
		this.#charge = new ByteCharge(options.heldBytes);
	}

	get number(): number {
		return this.#options.number;
	}

	get server(): BackendServer {
		return this.#options.server;
	}

	override get requestId(): string | undefined {
		return this.#options.requestId;
	}

	override get isHead(): boolean {
		return this.#options.isHead;
	}

	/** The complete response, if it was buffered. */
	get bufferedResponse(): BufferedResponse | undefined {
		return this.#head === undefined || this.#isStreaming
			? undefined
			: {head: this.#head, body: this.#collector.toBuffer()};
	}

	override onConnected(roundTripTime: Milliseconds | undefined): void {
		this.#connectTime = roundTripTime;
	}

	override onResponseHead(head: ResponseHead): void {
		this.#head = head;
	}

	override onResponseBody(chunk: Buffer): void {
		this.#bodyBytes += chunk.length;
		if (this.#isStreaming) {
			this.#options.listener.onStreamData(this, chunk);
			return;
		}

		this.#collector.add(chunk);
		this.#charge.set(this.#collector.heldBytes);
		if (this.#bodyBytes > maximumBufferedBytes) {
			this.#isStreaming = true;
			const firstBytes = this.#collector.toBuffer();
			this.#release();
			this.#options.listener.onStreamStart(this, this.#head!, firstBytes);
		}
	}

	override onResponseEnd(): void {
		if (this.#isStreaming) {
			this.#options.listener.onStreamEnd(this);
		}

		this.#end(this.#determineOutcome());
	}

	override onFailed({
		reason,
		wasSent,
		wasClosedByServer,
	}: ExchangeFailure): void {
		if (this.#isStreaming) {
			this.#options.listener.onStreamAborted(this);
		}

		const wasUnanswered = this.#head === undefined;
		this.#head = undefined;
		this.#release();
		this.#end(wasSent ? 'unknown' : 'not-sent', {
			reason,
			wasConnectionLost: wasSent && wasUnanswered && wasClosedByServer,
		});
	}

	/** Releases the buffered response; must be called when it is no longer needed. */
	close(): void {
		this.#release();
	}

	#release(): void {
		this.#collector.clear();
		this.#charge.close();
	}

	#determineOutcome(): SteeringOutcome {
		const {headerNames} = this.#options;
		const {status, rawHeaders} = this.#head!;
		if (status === misdirectedRequestStatus) {
			return 'wrong-server';
		}

		const wasNotRun =
			findRawHeader(rawHeaders, headerNames.notRun) !== undefined;
		if (wasNotRun) {
			return 'not-run';
		}

		// A response without the server's signature may come from another process.
		const hasSeal = findRawHeader(rawHeaders, headerNames.seal) !== undefined;
		return hasSeal || status >= 300 ? 'answered' : 'unknown';
	}

	#end(
		outcome: SteeringOutcome,
		{
			reason,
			wasConnectionLost = false,
		}: Partial<Pick<AttemptResult, 'reason' | 'wasConnectionLost'>> = {},
	): void {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = true;
		const {listener, headerNames} = this.#options;
		const head = this.#head;
		const load = findRawHeader(head?.rawHeaders ?? [], headerNames.load);
		listener.onEnded(this, {
			outcome,
			status: head?.status,
			isAnswerBuffered: !this.#isStreaming,
			load: parseLoad(load),
			rateLimit:
				outcome === 'answered' || outcome === 'not-run'
					? parseRateLimit(
							findRawHeader(head?.rawHeaders ?? [], headerNames.rateLimit),
						)
					: undefined,
			connectTime: this.#connectTime,
			responseBytes: this.#bodyBytes,
			wasConnectionLost,
			reason,
		});
	}
}

/**
 * Parses the load header: running, waiting, slots and work time, separated by commas.
 * Only the first two are required. A figure that is not a number hides itself and
 * those behind it; further figures are ignored.
 */
function parseLoad(text: string | undefined): ReportedLoad | undefined {
	const figures: number[] = [];
	for (const part of (text ?? '').split(',', 4)) {
		const figure = /^\d+(?:\.\d+)?$/.test(part) ? Number(part) : Number.NaN;
		if (!Number.isFinite(figure)) {
			break;
		}

		figures.push(figure);
	}

	const [running, waiting, slots, workTimePercent] = figures;
	return running === undefined || waiting === undefined
		? undefined
		: {running, waiting, slots, workTimePercent};
}

/**
 * Parses the header with a server's rate limit, a decimal number with any number of
 * digits. A missing header means no limit, and one that is no number says nothing.
 */
function parseRateLimit(
	text: string | undefined,
): ReportedRateLimit | undefined {
	if (text === undefined) {
		return {requestsPerSecond: undefined};
	}

	const requestsPerSecond = /^\d+(?:\.\d+)?$/.test(text)
		? Number(text)
		: Number.NaN;
	return Number.isFinite(requestsPerSecond) ? {requestsPerSecond} : undefined;
}
