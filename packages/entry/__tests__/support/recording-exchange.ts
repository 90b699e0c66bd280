import type {Buffer} from 'node:buffer';
import type {ResponseHead} from '../../src/response-parser.js';
import {
	ServerExchange,
	type ExchangeFailure,
} from '../../src/server-connection.js';

export type ExchangeResult =
	| {readonly kind: 'answered'; readonly status: number; readonly body: string}
	| {readonly kind: 'failed'; readonly wasSent: boolean};

/** Collects the response to one request and exposes the result as a promise. */
export class RecordingExchange extends ServerExchange {
	readonly result: Promise<ExchangeResult>;
	/** Called with each part of the body. */
	onBodyPart: (() => void) | undefined;
	#resolveResult!: (result: ExchangeResult) => void;
	#head: ResponseHead | undefined;
	#body = '';

	constructor(
		readonly requestId: string,
		readonly isHead = false,
	) {
		super();
		this.result = new Promise((resolve) => {
			this.#resolveResult = resolve;
		});
	}

	/** Alternating names and values of the response's headers. */
	get rawHeaders(): readonly string[] {
		return this.#head?.rawHeaders ?? [];
	}

	override onConnected(): void {
		// The round trip time is not recorded.
	}

	override onResponseHead(head: ResponseHead): void {
		this.#head = head;
	}

	override onResponseBody(chunk: Buffer): void {
		this.onBodyPart?.();
		this.#body += chunk.toString('latin1');
	}

	override onResponseEnd(): void {
		const {status} = this.#head!;
		this.#resolveResult({kind: 'answered', status, body: this.#body});
	}

	override onFailed({wasSent}: ExchangeFailure): void {
		this.#resolveResult({kind: 'failed', wasSent});
	}
}
