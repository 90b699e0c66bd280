import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {createDefaultBody, runJob} from './backend-responses.js';
import type {BackendFaults} from './backend-faults.js';
import {
	readBodyIntoRecord,
	toResponseHeaders,
	type BackendJob,
} from './backend-job.js';
import {getHeader} from './execution-log.js';

const otherRequestId = 'another-request';
const missingBytes = 100;

/** Runs a job and responds with the fault of the given mode. */
export async function runJobWithFaults(
	job: BackendJob,
	{mode, delayMs}: BackendFaults,
): Promise<void> {
	switch (mode) {
		case 'none':
		case 'refuse': {
			await runJob(job);
			return;
		}

		case 'hang': {
			await readBodyIntoRecord(job);
			await once(job.response, 'close');
			return;
		}

		case 'late': {
			const deadlineMs = Number(getHeader(job.request, 'x-deadline-ms') ?? 0);
			await readBodyIntoRecord(job);
			await wait(deadlineMs + delayMs);
			sendResponse(job, toResponseHeaders(job), createDefaultBody(job));
			return;
		}

		case 'die-after-body': {
			await readBodyIntoRecord(job);
			job.response.destroy();
			return;
		}

		case 'cut':
		case 'false-length':
		case 'crossed':
		case 'no-echo':
		case 'extra':
		case 'double': {
			await readBodyIntoRecord(job);
			await wait(job.serviceTime, undefined, {signal: job.signal});
			await sendFaultyResponse(job, mode);
		}
	}
}

async function sendFaultyResponse(
	job: BackendJob,
	mode: 'cut' | 'false-length' | 'crossed' | 'no-echo' | 'extra' | 'double',
): Promise<void> {
	const headers = toResponseHeaders(job);
	const body = createDefaultBody(job);
	const {socket} = job.response;
	switch (mode) {
		case 'cut': {
			job.response.writeHead(200, headers);
			job.response.write(body.subarray(0, body.length / 2), () => {
				job.response.destroy();
			});
			break;
		}

		case 'false-length': {
			const length = body.length + missingBytes;
			job.response.writeHead(200, {...headers, 'content-length': length});
			job.response.write(body, () => {
				socket?.end();
			});
			break;
		}

		case 'crossed': {
			sendResponse(job, {...headers, 'x-request-id': otherRequestId}, body);
			break;
		}

		case 'no-echo': {
			const {'x-request-id': _, ...otherHeaders} = headers;
			sendResponse(job, otherHeaders, body);
			break;
		}

		case 'extra': {
			sendResponse(job, headers, body);
			await once(job.response, 'finish');
			const otherHeaders = {...headers, 'x-request-id': otherRequestId};
			sendUnsolicitedResponse(socket, otherHeaders, body);
			break;
		}

		case 'double': {
			sendResponse(job, headers, body);
			await once(job.response, 'finish');
			sendUnsolicitedResponse(socket, headers, body);
		}
	}
}

function sendResponse(
	job: BackendJob,
	headers: Record<string, string>,
	body: Buffer,
): void {
	job.response.writeHead(200, {...headers, 'content-length': body.length});
	job.response.end(body);
}

/** Writes a response to the socket that belongs to no pending request. */
function sendUnsolicitedResponse(
	socket: Socket | null,
	headers: Record<string, string>,
	body: Buffer,
): void {
	const fields = {...headers, 'content-length': String(body.length)};
	const lines = Object.entries(fields).map(
		([name, value]) => `${name}: ${value}\r\n`,
	);
	socket?.write(`HTTP/1.1 200 ${STATUS_CODES[200]}\r\n${lines.join('')}\r\n`);
	socket?.write(body);
}
