import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {
	getErrorResponse,
	toRefusalBody,
	type ErrorKind,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';

const millisecondsPerSecond = 1000;

/** Sends an error response, or aborts a response that has already started. */
export function sendRefusal(
	response: ServerResponse,
	kind: ErrorKind,
	options: {
		readonly requestId?: RequestId;
		readonly retryAfter?: Milliseconds;
	} = {},
): void {
	if (response.headersSent) {
		// Once headers are sent, only closing the connection can signal a failure.
		response.destroy();
		return;
	}

	const errorAnswer = getErrorResponse(kind);
	const retryAfter = options.retryAfter ?? errorAnswer.retryAfter;
	const body = JSON.stringify(toRefusalBody(kind, options.requestId));
	response.statusCode = errorAnswer.httpStatus;
	response.setHeader('content-type', 'application/json');
	response.setHeader('content-length', Buffer.byteLength(body));
	response.setHeader('x-not-run', String(errorAnswer.notRun));
	if (options.requestId !== undefined) {
		response.setHeader('x-request-id', options.requestId);
	}

	if (retryAfter !== undefined) {
		const retryAfterSeconds = Math.ceil(retryAfter / millisecondsPerSecond);
		response.setHeader('retry-after', retryAfterSeconds);
	}

	response.end(body);
}
