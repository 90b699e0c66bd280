import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {z} from 'zod';

/** A body is longer than the stand-in takes. */
export class BodyTooLargeError extends Error {}

/** A body is not what the call takes. */
export class MalformedBodyError extends Error {}

/** Answers with a status and a value as JSON. */
export function sendJson(
	response: ServerResponse,
	status: number,
	value: unknown,
): void {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': body.length,
	});
	response.end(body);
}

/** Answers with a status alone. */
export function sendStatus(response: ServerResponse, status: number): void {
	response.writeHead(status);
	response.end();
}

/** Reads a whole body, up to `maximumBytes`. */
export async function readBody(
	request: IncomingMessage,
	maximumBytes: number,
): Promise<Buffer> {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		length += chunk.length;
		if (length <= maximumBytes) {
			chunks.push(chunk);
		}
	}

	if (length > maximumBytes) {
		throw new BodyTooLargeError(`The body has ${length} bytes`);
	}

	return Buffer.concat(chunks);
}

/** The value of a JSON text. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw new MalformedBodyError('The body is not JSON', {cause: error});
	}
}

/** Reads a JSON body and checks it against a schema. */
export async function readChecked<Schema extends z.ZodType>(
	request: IncomingMessage,
	maximumBytes: number,
	schema: Schema,
): Promise<z.infer<Schema>> {
	const body = await readBody(request, maximumBytes);
	const parsed = schema.safeParse(parseJson(body.toString()));
	if (!parsed.success) {
		throw new MalformedBodyError(parsed.error.message);
	}

	return parsed.data;
}
