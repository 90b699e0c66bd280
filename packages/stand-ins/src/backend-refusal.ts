import type {IncomingMessage, ServerResponse} from 'node:http';
import {getHeader} from './execution-log.js';
import {sendJson} from './http-json.js';

/** Contents of a refusal's headers. */
export type Refusal = {
	readonly serverName: string;
	readonly reportedLoad: number;
	readonly isDraining: boolean;
};

/** Refuses a request and states in `x-not-run` that it was not executed. */
export function sendRefusal(
	request: IncomingMessage,
	response: ServerResponse,
	status: number,
	{serverName, reportedLoad, isDraining}: Refusal,
): void {
	if (response.destroyed) {
		return;
	}

	const requestId = getHeader(request, 'x-request-id');
	response.setHeader('x-not-run', 'true');
	response.setHeader('x-server', serverName);
	response.setHeader('x-load', String(reportedLoad));
	if (requestId !== undefined) {
		response.setHeader('x-request-id', requestId);
	}

	if (isDraining) {
		response.setHeader('x-draining', 'true');
	}

	sendJson(response, status, {message: 'Request not executed'});
}
