import {Buffer} from 'node:buffer';
import type {Milliseconds} from '@parsleyvale/shared';
import type {BackendServer} from '@parsleyvale/steering';
import type {CallerRequest} from './caller-request.js';
import type {WireNames} from './wire-names.js';

export type RequestHeadOptions = {
	readonly caller: CallerRequest;
	readonly names: WireNames;
	readonly server: BackendServer;
	readonly customer: string | undefined;
	/** What is left of the time for the answer. */
	readonly timeLeft: Milliseconds;
	/** Bytes of the body; undefined: it is sent in chunks. */
	readonly bodyBytes: number | undefined;
};

const methodsWithoutBody = new Set(['GET', 'HEAD', 'OPTIONS', 'DELETE']);

/** The request line and header that go to a backend server. */
export function toRequestHead(options: RequestHeadOptions): Buffer {
	const {caller, names, server, customer, timeLeft, bodyBytes} = options;
	const lines = [`${caller.method} ${caller.target} HTTP/1.1`];
	for (let index = 0; index + 1 < caller.forwarded.length; index += 2) {
		lines.push(`${caller.forwarded[index]}: ${caller.forwarded[index + 1]}`);
	}

	lines.push(
		`${names.deadline}: ${Math.max(1, Math.floor(timeLeft))}`,
		`${names.expectedServer}: ${server.id}`,
	);
	if (customer !== undefined) {
		lines.push(`${names.customer}: ${customer}`);
	}

	if (bodyBytes === undefined) {
		lines.push('transfer-encoding: chunked');
	} else if (bodyBytes > 0 || !methodsWithoutBody.has(caller.method)) {
		lines.push(`content-length: ${bodyBytes}`);
	}

	return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
}
