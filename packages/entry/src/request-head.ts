import {Buffer} from 'node:buffer';
import type {Milliseconds} from '@parsleyvale/shared';
import type {BackendServer} from '@parsleyvale/steering';
import type {CallerRequest} from './caller-request.js';
import type {HeaderNames} from './header-names.js';

export type RequestHeadOptions = {
	readonly callerRequest: CallerRequest;
	readonly headerNames: HeaderNames;
	readonly server: BackendServer;
	readonly customer: string | undefined;
	/** Time left until the request's deadline. */
	readonly timeLeft: Milliseconds;
	/** Length of the body; undefined: it is sent with chunked encoding. */
	readonly bodyBytes: number | undefined;
};

const methodsWithoutBody = new Set(['GET', 'HEAD', 'OPTIONS', 'DELETE']);

/** Formats the request line and headers for a backend server. */
export function formatRequestHead(options: RequestHeadOptions): Buffer {
	const {callerRequest, headerNames, server, customer, timeLeft, bodyBytes} =
		options;
	const lines = [`${callerRequest.method} ${callerRequest.target} HTTP/1.1`];
	for (
		let index = 0;
		index + 1 < callerRequest.forwardedHeaders.length;
		index += 2
	) {
		lines.push(
			`${callerRequest.forwardedHeaders[index]}: ${callerRequest.forwardedHeaders[index + 1]}`,
		);
	}

	lines.push(
		`${headerNames.deadline}: ${Math.max(1, Math.floor(timeLeft))}`,
		`${headerNames.expectedServer}: ${server.id}`,
	);
	if (customer !== undefined) {
		lines.push(`${headerNames.customer}: ${toHeaderValue(customer)}`);
	}

	if (bodyBytes === undefined) {
		lines.push('transfer-encoding: chunked');
	} else if (bodyBytes > 0 || !methodsWithoutBody.has(callerRequest.method)) {
		lines.push(`content-length: ${bodyBytes}`);
	}

	return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
}

/** Returns a string whose characters stand for the bytes of the text in UTF-8, as the head is written in Latin-1. */
function toHeaderValue(text: string): string {
	return Buffer.from(text, 'utf8').toString('latin1');
}
