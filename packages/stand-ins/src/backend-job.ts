import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Milliseconds} from '@parsleyvale/shared';
import {getHeader, type ExecutionRecord} from './execution-log.js';

/** A request that a backend server is executing. */
export type BackendJob = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly record: ExecutionRecord;
	readonly serverName: string;
	/** Simulated processing time. */
	readonly serviceTime: Milliseconds;
	/** Aborted when the client disconnects or the deadline passes. */
	readonly signal: AbortSignal;
	/** Number of requests in flight to report in `x-load`. */
	readonly reportedLoad: number;
};

/** The header fields that every response carries. */
export function toResponseHeaders(job: BackendJob): Record<string, string> {
	const requestId = getHeader(job.request, 'x-request-id');
	return {
		'x-server': job.serverName,
		'x-load': String(job.reportedLoad),
		...(requestId === undefined ? {} : {'x-request-id': requestId}),
	};
}

/** Reads the whole request body into the execution record. */
export async function readBodyIntoRecord(job: BackendJob): Promise<void> {
	for await (const chunk of job.request as AsyncIterable<Uint8Array>) {
		job.record.addBodyChunk(chunk);
	}

	job.record.finishBody();
}
