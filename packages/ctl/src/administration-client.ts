import {
	ErrorKind,
	getErrorResponse,
	versionedConfigurationSchema,
	type Clock,
	type Configuration,
	type Milliseconds,
	type VersionedConfiguration,
} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {
	acceptedResponseSchema,
	errorResponseSchema,
	statusResponseSchema,
	type ErrorResponse,
	type StatusResponse,
} from './administration-responses.js';
import {
	AdministrationTransport,
	type AdministrationCall,
	type CallResult,
} from './administration-transport.js';
import type {CtlError} from './ctl-error.js';

/** Result of sending a change once. */
export type SendResult =
	| {readonly kind: 'accepted'; readonly version: number}
	| {readonly kind: 'conflict'; readonly version: number}
	/** No valid response was received; the change may have been made. */
	| {readonly kind: 'lost'}
	/** The change was not made. */
	| {readonly kind: 'failed'; readonly error: CtlError};

/** Kinds of errors that carry only a message. */
type MessageErrorKind =
	'not-found' | 'not-authorized' | 'not-allowed' | 'not-reached';

/** Limits each call so that an unresponsive entry host leaves time for others. */
const callsPerTimeout = 3;

const credentialErrorKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.NotAuthorized,
	ErrorKind.KeyMissing,
	ErrorKind.KeyUnknown,
]);

export type AdministrationClientOptions = {
	/** Administration API URLs of entry hosts, in the order to try them. */
	readonly urls: readonly string[];
	readonly credential: string;
	readonly clock: Clock;
	/** How long to keep retrying. */
	readonly timeout: Milliseconds;
};

/** Client of the administration API, with failover between entry hosts. */
export class AdministrationClient {
	readonly #transport: AdministrationTransport;
	/** In the order to try them; entry hosts that failed move to the end. */
	readonly #urls: string[];

	readonly #clock: Clock;
	readonly #deadline: Milliseconds;

	constructor({urls, credential, clock, timeout}: AdministrationClientOptions) {
		this.#urls = [...urls];
		this.#clock = clock;
		this.#deadline = clock.now() + timeout;
		this.#transport = new AdministrationTransport({
			credential,
			callTimeout: Math.ceil(timeout / callsPerTimeout),
		});
	}

	/** Whether the timeout has not expired yet. */
	get hasTimeLeft(): boolean {
		return this.#clock.now() < this.#deadline;
	}

	async readConfiguration(): Promise<Result<VersionedConfiguration, CtlError>> {
		return this.#get('/configuration', versionedConfigurationSchema);
	}

	async readStatus(): Promise<Result<StatusResponse, CtlError>> {
		return this.#get('/status', statusResponseSchema);
	}

	/** Sends a full configuration; safe to repeat with the same operation id. */
	async sendConfiguration(
		expectedVersion: number,
		operationId: string,
		configuration: Configuration,
	): Promise<SendResult> {
		const encodedOperationId = encodeURIComponent(operationId);
		return this.#sendChange({
			method: 'PUT',
			path: `/configuration?expected=${expectedVersion}&operation=${encodedOperationId}`,
			body: JSON.stringify(configuration),
		});
	}

	/** Sends the withdrawal of a key; safe to repeat with the same operation id. */
	async sendKeyWithdrawal(
		keyName: string,
		operationId: string,
	): Promise<SendResult> {
		const encodedOperationId = encodeURIComponent(operationId);
		return this.#sendChange({
			method: 'POST',
			path: `/keys/${encodeURIComponent(keyName)}/withdraw?operation=${encodedOperationId}`,
		});
	}

	async close(): Promise<void> {
		await this.#transport.close();
	}

	async #get<Schema extends z.ZodType>(
		path: string,
		schema: Schema,
	): Promise<Result<z.infer<Schema>, CtlError>> {
		const result = await this.#send({method: 'GET', path});
		if (result.kind !== 'answered') {
			return Result.err({kind: 'not-reached', message: result.message});
		}

		if (result.status !== 200) {
			return Result.err(toCtlError(result.status, result.body));
		}

		const parsed = schema.safeParse(result.body);
		return parsed.success
			? Result.ok(parsed.data)
			: Result.err(createMalformedResponseError(parsed.error.message));
	}

	async #sendChange(call: AdministrationCall): Promise<SendResult> {
		const result = await this.#send(call);
		if (result.kind === 'lost') {
			return {kind: 'lost'};
		}

		if (result.kind === 'not-reached') {
			const {message} = result;
			return {kind: 'failed', error: {kind: 'not-reached', message}};
		}

		const accepted = acceptedResponseSchema.safeParse(result.body);
		if (result.status === 200) {
			return accepted.success
				? {kind: 'accepted', version: accepted.data.version}
				: {kind: 'lost'};
		}

		return toSendResult(result.status, result.body);
	}

	/**
	 * Tries the entry hosts in order until one gives a final response. A change
	 * whose response was lost is not sent to another entry host; the caller
	 * decides whether to send it again.
	 */
	async #send(call: AdministrationCall): Promise<CallResult> {
		let result: CallResult = {
			kind: 'not-reached',
			message: 'No entry host given',
		};
		const urls = [...this.#urls];
		for (const url of urls) {
			result = await this.#transport.send(url, call);
			if (isFinal(call, result)) {
				return result;
			}

			this.#moveToEnd(url);
			if (result.kind === 'lost' && call.method !== 'GET') {
				return result;
			}
		}

		return result;
	}

	#moveToEnd(url: string): void {
		this.#urls.splice(this.#urls.indexOf(url), 1);
		this.#urls.push(url);
	}
}

/** Whether trying another entry host would be useless or unsafe. */
function isFinal(call: AdministrationCall, result: CallResult): boolean {
	if (result.kind !== 'answered') {
		return false;
	}

	const {kind} = parseErrorResponse(result.body) ?? {};
	const mayHaveChanged = call.method !== 'GET' && !guaranteesNotRun(kind);
	return result.status < 500 || mayHaveChanged;
}

function guaranteesNotRun(kind: ErrorKind | undefined): boolean {
	return kind !== undefined && getErrorResponse(kind).notRun;
}

function parseErrorResponse(body: unknown): ErrorResponse | undefined {
	const parsed = errorResponseSchema.safeParse(body);
	return parsed.success ? parsed.data : undefined;
}

function toSendResult(status: number, body: unknown): SendResult {
	const errorResponse = parseErrorResponse(body);
	if (errorResponse?.kind === ErrorKind.VersionConflict) {
		return {kind: 'conflict', version: errorResponse.version ?? 0};
	}

	const isLost = errorResponse
		? !getErrorResponse(errorResponse.kind).notRun
		: status >= 500;
	return isLost
		? {kind: 'lost'}
		: {kind: 'failed', error: toCtlError(status, body)};
}

function toCtlError(status: number, body: unknown): CtlError {
	const errorResponse = parseErrorResponse(body);
	if (errorResponse === undefined) {
		return createMalformedResponseError(
			`HTTP status ${status} with an invalid error body`,
		);
	}

	const {kind, message, problems} = errorResponse;
	if (kind === ErrorKind.InvalidConfiguration) {
		return {kind: 'invalid-configuration', problems};
	}

	return {kind: toCtlErrorKind(kind), message: `${kind}: ${message}`};
}

function toCtlErrorKind(kind: ErrorKind): MessageErrorKind {
	if (kind === ErrorKind.NotFound) {
		return 'not-found';
	}

	if (credentialErrorKinds.has(kind)) {
		return 'not-authorized';
	}

	return getErrorResponse(kind).retry === 'never'
		? 'not-allowed'
		: 'not-reached';
}

function createMalformedResponseError(message: string): CtlError {
	return {kind: 'malformed-answer', message};
}
