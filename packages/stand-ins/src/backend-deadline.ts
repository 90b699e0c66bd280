import type {IncomingMessage} from 'node:http';
import type {BackendFaultMode} from './backend-faults.js';
import {toAnswerHeaders, type BackendJob} from './backend-job.js';
import {getHeader} from './execution-log.js';
import {sendJson} from './http-json.js';

/** Why a job was aborted. */
export class AbortReason extends Error {
	constructor(readonly outcome: 'cancelled' | 'deadline-exceeded') {
		super(outcome);
	}
}

/** Aborts a request when the deadline in its header passes. */
export function startDeadline(
	request: IncomingMessage,
	abort: AbortController,
	mode: BackendFaultMode,
): NodeJS.Timeout | undefined {
	const remaining = Number(getHeader(request, 'x-deadline-ms'));
	if (!Number.isFinite(remaining) || mode !== 'none') {
		return undefined;
	}

	return setTimeout(() => {
		abort.abort(new AbortReason('deadline-exceeded'));
	}, remaining);
}

/** Ends the record of an aborted job, and answers if that is possible. */
export function answerAborted(job: BackendJob): AbortReason['outcome'] {
	const {record, response, signal} = job;
	const {reason} = signal as {reason: unknown};
	const outcome = reason instanceof AbortReason ? reason.outcome : 'cancelled';
	record.end(outcome);
	if (response.headersSent || response.destroyed) {
		response.destroy();
	} else {
		response.setHeaders(new Headers(toAnswerHeaders(job)));
		sendJson(response, 504, {message: 'The deadline has passed'});
	}

	return outcome;
}
