import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {
	getErrorAnswer,
	toRefusalBody,
	type ErrorKind,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';

const millisecondsPerSecond = 1000;

/** Answers with an error, or cuts an answer that has begun. */
export function sendRefusal(
	response: ServerResponse,
	kind: ErrorKind,
	options: {
		readonly requestId?: RequestId;
		readonly retryAfter?: Milliseconds;
	} = {},
): void {
	if (response.headersSent) {
		// A cut connection is the one sign of failure that is left.
		response.destroy();
		return;
	}

	const answer = getErrorAnswer(kind);
	const retryAfter = options.retryAfter ?? answer.retryAfter;
	const body = JSON.stringify(toRefusalBody(kind, options.requestId));
	response.statusCode = answer.httpStatus;
	response.setHeader('content-type', 'application/json');
	response.setHeader('content-length', Buffer.byteLength(body));
	response.setHeader('x-not-run', String(answer.notRun));
	if (options.requestId !== undefined) {
		response.setHeader('x-request-id', options.requestId);
	}

	if (retryAfter !== undefined) {
		const seconds = Math.ceil(retryAfter / millisecondsPerSecond);
		response.setHeader('retry-after', seconds);
	}

	response.end(body);
}
