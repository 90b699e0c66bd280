import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {z} from 'zod';

/** The request body exceeds the size limit. */
export class BodyTooLargeError extends Error {}

/** The request body is not valid JSON or does not match the schema. */
export class MalformedBodyError extends Error {}

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

/** Sends a response without a body. */
export function sendStatus(response: ServerResponse, status: number): void {
	response.writeHead(status);
	response.end();
}

/**
 * Reads a whole body.
 *
 * @throws {BodyTooLargeError} if it is longer than `maximumBytes`.
 */
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
		throw new BodyTooLargeError(`Request body too large: ${length} bytes`);
	}

	return Buffer.concat(chunks);
}

export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw new MalformedBodyError('Request body is not valid JSON', {
			cause: error,
		});
	}
}

/** Reads a JSON body and validates it against a schema. */
export async function readJson<Schema extends z.ZodType>(
	request: IncomingMessage,
	maximumBytes: number,
	schema: Schema,
): Promise<z.infer<Schema>> {
	const body = await readBody(request, maximumBytes);
	const result = schema.safeParse(parseJson(body.toString()));
	if (!result.success) {
		throw new MalformedBodyError(result.error.message);
	}

	return result.data;
}
