import {Buffer} from 'node:buffer';
import {Readable, Transform} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {
	readBodyIntoRecord,
	toResponseHeaders,
	type BackendJob,
} from './backend-job.js';
import {getHeader} from './execution-log.js';

const chunkBytes = 65_536;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Handles a request as its path asks: `/echo` returns the body, `/sized/N`
 * returns N bytes, `/status/S` responds with status S, `/slow/MS` responds after
 * MS milliseconds, and every other path returns a JSON summary of the request.
 */
export async function runJob(job: BackendJob): Promise<void> {
	const {pathname} = new URL(job.request.url ?? '/', 'http://backend-server');
	const [, kind, argument] = pathname.split('/');
	const parameter = Number.parseInt(argument ?? '0', 10) || 0;
	switch (kind ?? '') {
		case 'echo': {
			await sendEcho(job);
			break;
		}

		case 'sized': {
			await simulateWork(job, job.serviceTime);
			await sendSizedResponse(job, parameter);
			break;
		}

		case 'status': {
			await simulateWork(job, job.serviceTime);
			sendStatusResponse(job, parameter);
			break;
		}

		case 'slow': {
			await simulateWork(job, parameter);
			sendDefaultResponse(job);
			break;
		}

		default: {
			await simulateWork(job, job.serviceTime);
			sendDefaultResponse(job);
		}
	}
}

/** The JSON summary of the request, with the request id and customer it carried. */
export function createDefaultBody(job: BackendJob): Buffer {
	const {requestId, customer} = job.record.toExecution();
	const value = {
		server: job.serverName,
		target: job.request.url,
		requestId,
		customer,
	};
	return Buffer.from(JSON.stringify(value));
}

async function simulateWork(job: BackendJob, duration: number): Promise<void> {
	await readBodyIntoRecord(job);
	await wait(duration, undefined, {signal: job.signal});
}

function sendDefaultResponse(job: BackendJob): void {
	const body = createDefaultBody(job);
	job.response.writeHead(200, {
		...toResponseHeaders(job),
		'content-type': 'application/json',
		'content-length': body.length,
	});
	job.response.end(body);
}

function sendStatusResponse(job: BackendJob, status: number): void {
	const isValid = status >= 200 && status <= 599;
	job.response.writeHead(isValid ? status : 400, toResponseHeaders(job));
	job.response.end(bodilessStatuses.has(status) ? undefined : `${status}\n`);
}

async function sendSizedResponse(job: BackendJob, size: number): Promise<void> {
	const etag = `"${size}"`;
	if (getHeader(job.request, 'if-none-match') === etag) {
		job.response.writeHead(304, {...toResponseHeaders(job), etag});
		job.response.end();
		return;
	}

	job.response.writeHead(200, {
		...toResponseHeaders(job),
		etag,
		'content-type': 'application/octet-stream',
		'content-length': size,
	});
	if (job.request.method === 'HEAD') {
		job.response.end();
		return;
	}

	await pipeline(Readable.from(createChunks(size)), job.response, {
		signal: job.signal,
	});
}

function* createChunks(size: number): Generator<Buffer> {
	const chunk = Buffer.alloc(chunkBytes, 'x');
	for (
		let remainingBytes = size;
		remainingBytes > 0;
		remainingBytes -= chunkBytes
	) {
		yield remainingBytes >= chunkBytes
			? chunk
			: chunk.subarray(0, remainingBytes);
	}
}

async function sendEcho(job: BackendJob): Promise<void> {
	await wait(job.serviceTime, undefined, {signal: job.signal});
	const contentType = getHeader(job.request, 'content-type');
	const trailer = getHeader(job.request, 'trailer');
	job.response.writeHead(200, {
		...toResponseHeaders(job),
		...(contentType === undefined ? {} : {'content-type': contentType}),
		...(trailer === undefined ? {} : {trailer}),
	});
	const bodyRecorder = new Transform({
		transform(chunk: Buffer, _encoding, done) {
			job.record.addBodyChunk(chunk);
			done(null, chunk);
		},
	});
	await pipeline(job.request, bodyRecorder, job.response, {
		signal: job.signal,
		end: false,
	});
	job.record.finishBody();
	job.response.addTrailers(toTrailers(job.request.trailers));
	job.response.end();
}

function toTrailers(trailers: NodeJS.Dict<string>): Record<string, string> {
	const fields: Record<string, string> = {};
	for (const [name, value] of Object.entries(trailers)) {
		if (value !== undefined) {
			fields[name] = value;
		}
	}

	return fields;
}
