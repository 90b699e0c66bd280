import {Buffer} from 'node:buffer';
import {Readable, Transform} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {
	readIntoRecord,
	toAnswerHeaders,
	type BackendJob,
} from './backend-job.js';
import {getHeader} from './execution-log.js';

const chunkBytes = 65_536;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Does the work that the path names and answers: `/echo`, `/sized/N`,
 * `/status/S`, `/slow/MS`, or a line of JSON on every other path.
 */
export async function runJob(job: BackendJob): Promise<void> {
	const {pathname} = new URL(job.request.url ?? '/', 'http://backend-server');
	const [, kind, argument] = pathname.split('/');
	const size = Number.parseInt(argument ?? '0', 10) || 0;
	switch (kind ?? '') {
		case 'echo': {
			await answerEcho(job);
			break;
		}

		case 'sized': {
			await runWork(job, job.serviceTime);
			await answerSized(job, size);
			break;
		}

		case 'status': {
			await runWork(job, job.serviceTime);
			answerStatus(job, size);
			break;
		}

		case 'slow': {
			await runWork(job, size);
			answerPlain(job);
			break;
		}

		default: {
			await runWork(job, job.serviceTime);
			answerPlain(job);
		}
	}
}

/** The plain answer's body. */
export function createPlainBody(job: BackendJob): Buffer {
	const {requestId, customer} = job.record.toExecution();
	const value = {
		server: job.server,
		target: job.request.url,
		requestId,
		customer,
	};
	return Buffer.from(JSON.stringify(value));
}

async function runWork(job: BackendJob, span: number): Promise<void> {
	await readIntoRecord(job);
	await wait(span, undefined, {signal: job.signal});
}

function answerPlain(job: BackendJob): void {
	const body = createPlainBody(job);
	job.response.writeHead(200, {
		...toAnswerHeaders(job),
		'content-type': 'application/json',
		'content-length': body.length,
	});
	job.response.end(body);
}

function answerStatus(job: BackendJob, status: number): void {
	const isValid = status >= 200 && status <= 599;
	job.response.writeHead(isValid ? status : 400, toAnswerHeaders(job));
	job.response.end(bodilessStatuses.has(status) ? undefined : `${status}\n`);
}

async function answerSized(job: BackendJob, size: number): Promise<void> {
	const etag = `"${size}"`;
	if (getHeader(job.request, 'if-none-match') === etag) {
		job.response.writeHead(304, {...toAnswerHeaders(job), etag});
		job.response.end();
		return;
	}

	job.response.writeHead(200, {
		...toAnswerHeaders(job),
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
	for (let rest = size; rest > 0; rest -= chunkBytes) {
		yield rest >= chunkBytes ? chunk : chunk.subarray(0, rest);
	}
}

async function answerEcho(job: BackendJob): Promise<void> {
	await wait(job.serviceTime, undefined, {signal: job.signal});
	const type = getHeader(job.request, 'content-type');
	const trailer = getHeader(job.request, 'trailer');
	job.response.writeHead(200, {
		...toAnswerHeaders(job),
		...(type === undefined ? {} : {'content-type': type}),
		...(trailer === undefined ? {} : {trailer}),
	});
	const recorder = new Transform({
		transform(chunk: Buffer, _encoding, done) {
			job.record.addBody(chunk);
			done(null, chunk);
		},
	});
	await pipeline(job.request, recorder, job.response, {
		signal: job.signal,
		end: false,
	});
	job.record.completeBody();
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
