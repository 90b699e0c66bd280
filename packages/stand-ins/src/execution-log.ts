import {createHash, type Hash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Milliseconds} from '@parsleyvale/shared';

/** State or final result of an execution. */
export type ExecutionOutcome =
	'running' | 'completed' | 'cancelled' | 'deadline-exceeded' | 'faulty';

export type HeaderField = {readonly name: string; readonly value: string};

/** A request that a backend server has started to execute. */
export type Execution = {
	readonly requestId: string | undefined;
	readonly customer: string | undefined;
	readonly idempotencyKey: string | undefined;
	readonly method: string;
	readonly target: string;
	/** Header fields as received, followed by the trailers. */
	readonly headers: readonly HeaderField[];
	/** Since the Unix epoch, so that times of different servers are comparable. */
	readonly startedAt: Milliseconds;
	readonly endedAt: Milliseconds | undefined;
	readonly outcome: ExecutionOutcome;
	readonly bodyBytes: number;
	/** Hexadecimal; undefined until the whole body has been received. */
	readonly bodySha256: string | undefined;
};

/** Collects the data of one execution while the request is processed. */
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

	addBodyChunk(chunk: Uint8Array): void {
		this.#hash.update(chunk);
		this.#bodyBytes += chunk.length;
	}

	/** Computes the digest once the whole body has been received. */
	finishBody(): void {
		this.#digest ??= this.#hash.digest('hex');
	}

	end(outcome: ExecutionOutcome): void {
		this.#outcome = outcome;
		this.#endedAt = getEpochTime();
		// A snapshot, so that the record no longer retains the request and its socket.
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
					...toHeaderFields(this.#request.rawHeaders),
					...toHeaderFields(this.#request.rawTrailers),
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

/** All executions of a backend server, for tests to check the guarantees against. */
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

/** Returns the first value of a header. */
export function getHeader(
	request: IncomingMessage,
	name: string,
): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function toHeaderFields(rawHeaders: readonly string[]): HeaderField[] {
	const fields: HeaderField[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		fields.push({name: rawHeaders[index]!, value: rawHeaders[index + 1]!});
	}

	return fields;
}

function getEpochTime(): Milliseconds {
	return performance.timeOrigin + performance.now();
}
