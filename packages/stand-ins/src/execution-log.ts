import {createHash, type Hash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Milliseconds} from '@parsleyvale/shared';

/** How the work on a request ended. */
export type ExecutionOutcome =
	'running' | 'completed' | 'cancelled' | 'deadline-exceeded' | 'faulty';

export type HeaderField = {readonly name: string; readonly value: string};

/** One request that a backend server began to work on. */
export type Execution = {
	readonly requestId: string | undefined;
	readonly customer: string | undefined;
	readonly idempotencyKey: string | undefined;
	readonly method: string;
	readonly target: string;
	/** Every header field as it came, trailers after them. */
	readonly headers: readonly HeaderField[];
	/** Since 1970, so that the records of several servers compare. */
	readonly startedAt: Milliseconds;
	readonly endedAt: Milliseconds | undefined;
	readonly outcome: ExecutionOutcome;
	readonly bodyBytes: number;
	/** Hexadecimal; undefined until the whole body has come. */
	readonly bodySha256: string | undefined;
};

/** The record of one execution while it runs. */
export class ExecutionRecord {
	readonly #request: IncomingMessage;
	readonly #startedAt = getEpochTime();
	readonly #hash: Hash = createHash('sha256');
	#digest: string | undefined;
	#bodyBytes = 0;
	#endedAt: Milliseconds | undefined;
	#outcome: ExecutionOutcome = 'running';
	#execution: Execution | undefined;

	constructor(request: IncomingMessage) {
		this.#request = request;
	}

	/** Adds a part of the body. */
	addBody(chunk: Uint8Array): void {
		this.#hash.update(chunk);
		this.#bodyBytes += chunk.length;
	}

	/** Notes that the whole body has come. */
	completeBody(): void {
		this.#digest ??= this.#hash.digest('hex');
	}

	end(outcome: ExecutionOutcome): void {
		this.#outcome = outcome;
		this.#endedAt = getEpochTime();
		// Kept without the request, which holds its socket.
		this.#execution = this.toExecution();
	}

	toExecution(): Execution {
		return (
			this.#execution ?? {
				requestId: getHeader(this.#request, 'x-request-id'),
				customer: getHeader(this.#request, 'x-customer'),
				idempotencyKey: getHeader(this.#request, 'idempotency-key'),
				method: this.#request.method ?? '',
				target: this.#request.url ?? '',
				headers: [
					...toFields(this.#request.rawHeaders),
					...toFields(this.#request.rawTrailers),
				],
				startedAt: this.#startedAt,
				endedAt: this.#endedAt,
				outcome: this.#outcome,
				bodyBytes: this.#bodyBytes,
				bodySha256: this.#digest,
			}
		);
	}
}

/** Every execution of a backend server: the evidence for the promises. */
export class ExecutionLog {
	#records: ExecutionRecord[] = [];

	begin(request: IncomingMessage): ExecutionRecord {
		const record = new ExecutionRecord(request);
		this.#records.push(record);
		return record;
	}

	list(): Execution[] {
		return this.#records.map((record) => record.toExecution());
	}

	clear(): void {
		this.#records = [];
	}
}

/** The only or first value of a header. */
export function getHeader(
	request: IncomingMessage,
	name: string,
): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function toFields(raw: readonly string[]): HeaderField[] {
	const fields: HeaderField[] = [];
	for (let index = 0; index + 1 < raw.length; index += 2) {
		fields.push({name: raw[index]!, value: raw[index + 1]!});
	}

	return fields;
}

function getEpochTime(): Milliseconds {
	return performance.timeOrigin + performance.now();
}
