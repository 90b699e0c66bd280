import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {createPlainBody, runJob} from './backend-answers.js';
import type {BackendFaults} from './backend-faults.js';
import {
	readIntoRecord,
	toAnswerHeaders,
	type BackendJob,
} from './backend-job.js';
import {getHeader} from './execution-log.js';

const otherRequestId = 'another-request';
const missingBytes = 100;

/** Runs a job and answers it in the faulty way. */
export async function runFaultyJob(
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
			await readIntoRecord(job);
			await once(job.response, 'close');
			return;
		}

		case 'late': {
			const deadline = Number(getHeader(job.request, 'x-deadline-ms') ?? 0);
			await readIntoRecord(job);
			await wait(deadline + delayMs);
			answer(job, toAnswerHeaders(job), createPlainBody(job));
			return;
		}

		case 'die-after-body': {
			await readIntoRecord(job);
			job.response.destroy();
			return;
		}

		case 'cut':
		case 'false-length':
		case 'crossed':
		case 'no-echo':
		case 'extra':
		case 'double': {
			await readIntoRecord(job);
			await wait(job.serviceTime, undefined, {signal: job.signal});
			await answerFaultily(job, mode);
		}
	}
}

async function answerFaultily(
	job: BackendJob,
	mode: 'cut' | 'false-length' | 'crossed' | 'no-echo' | 'extra' | 'double',
): Promise<void> {
	const headers = toAnswerHeaders(job);
	const body = createPlainBody(job);
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
			answer(job, {...headers, 'x-request-id': otherRequestId}, body);
			break;
		}

		case 'no-echo': {
			const {'x-request-id': _, ...rest} = headers;
			answer(job, rest, body);
			break;
		}

		case 'extra': {
			answer(job, headers, body);
			await once(job.response, 'finish');
			const others = {...headers, 'x-request-id': otherRequestId};
			sendUnasked(socket, others, body);
			break;
		}

		case 'double': {
			answer(job, headers, body);
			await once(job.response, 'finish');
			sendUnasked(socket, headers, body);
		}
	}
}

function answer(
	job: BackendJob,
	headers: Record<string, string>,
	body: Buffer,
): void {
	job.response.writeHead(200, {...headers, 'content-length': body.length});
	job.response.end(body);
}

/** Writes an answer that no request asked for. */
function sendUnasked(
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
