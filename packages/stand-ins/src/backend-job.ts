import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Milliseconds} from '@parsleyvale/shared';
import {getHeader, type ExecutionRecord} from './execution-log.js';

/** One request in the hands of a backend server. */
export type BackendJob = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly record: ExecutionRecord;
	/** Name of the server. */
	readonly server: string;
	/** Time that the work takes. */
	readonly serviceTime: Milliseconds;
	/** Aborted when the caller goes away or the deadline passes. */
	readonly signal: AbortSignal;
	/** The load to report. */
	readonly load: number;
};

/** The header fields that every answer carries. */
export function toAnswerHeaders(job: BackendJob): Record<string, string> {
	const requestId = getHeader(job.request, 'x-request-id');
	return {
		'x-server': job.server,
		'x-load': String(job.load),
		...(requestId === undefined ? {} : {'x-request-id': requestId}),
	};
}

/** Reads the body to its end into the record. */
export async function readIntoRecord(job: BackendJob): Promise<void> {
	for await (const chunk of job.request as AsyncIterable<Uint8Array>) {
		job.record.addBody(chunk);
	}

	job.record.completeBody();
}
