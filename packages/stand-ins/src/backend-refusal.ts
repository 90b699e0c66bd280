import type {IncomingMessage, ServerResponse} from 'node:http';
import {getHeader} from './execution-log.js';
import {sendJson} from './http-json.js';

/** What a refusal tells besides its status. */
export type Refusal = {
	/** Name of the server. */
	readonly server: string;
	readonly load: number;
	readonly isDraining: boolean;
};

/** Answers that the server has not begun on the request. */
export function refuseRequest(
	request: IncomingMessage,
	response: ServerResponse,
	status: number,
	{server, load, isDraining}: Refusal,
): void {
	if (response.destroyed) {
		return;
	}

	const requestId = getHeader(request, 'x-request-id');
	response.setHeader('x-not-run', 'true');
	response.setHeader('x-server', server);
	response.setHeader('x-load', String(load));
	if (requestId !== undefined) {
		response.setHeader('x-request-id', requestId);
	}

	if (isDraining) {
		response.setHeader('x-draining', 'true');
	}

	sendJson(response, status, {message: 'Not run'});
}
