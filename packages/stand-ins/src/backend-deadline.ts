import type {IncomingMessage} from 'node:http';
import type {BackendFaultMode} from './backend-faults.js';
import {toResponseHeaders, type BackendJob} from './backend-job.js';
import {getHeader} from './execution-log.js';
import {sendJson} from './http-json.js';

/** The reason passed to the abort signal of a job. */
export class AbortReason extends Error {
	constructor(readonly outcome: 'cancelled' | 'deadline-exceeded') {
		super(outcome);
	}
}

/**
 * Aborts a request when the time left in its `x-deadline-ms` header has passed.
 * Starts no timer in fault modes, which may respond after the deadline.
 */
export function startDeadlineTimer(
	request: IncomingMessage,
	abort: AbortController,
	mode: BackendFaultMode,
): NodeJS.Timeout | undefined {
	const remainingMs = Number(getHeader(request, 'x-deadline-ms'));
	if (!Number.isFinite(remainingMs) || mode !== 'none') {
		return undefined;
	}

	return setTimeout(() => {
		abort.abort(new AbortReason('deadline-exceeded'));
	}, remainingMs);
}

/** Records the outcome of an aborted job; sends a 504 if no headers were sent yet. */
export function endAbortedJob(job: BackendJob): AbortReason['outcome'] {
	const {record, response, signal} = job;
	const {reason} = signal as {reason: unknown};
	const outcome = reason instanceof AbortReason ? reason.outcome : 'cancelled';
	record.end(outcome);
	if (response.headersSent || response.destroyed) {
		response.destroy();
	} else {
		response.setHeaders(new Headers(toResponseHeaders(job)));
		sendJson(response, 504, {message: 'Deadline exceeded'});
	}

	return outcome;
}
