import {
	ErrorKind,
	getErrorAnswer,
	versionedConfigurationSchema,
	type Clock,
	type Configuration,
	type Milliseconds,
	type VersionedConfiguration,
} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {
	acceptedSchema,
	errorAnswerSchema,
	statusAnswerSchema,
	type ErrorAnswer,
	type StatusAnswer,
} from './administration-answers.js';
import {
	AdministrationConnection,
	type AdministrationCall,
	type CallResult,
} from './administration-connection.js';
import type {CtlError} from './ctl-error.js';

/** How sending a change once ended. */
export type SendResult =
	| {readonly kind: 'accepted'; readonly version: number}
	| {readonly kind: 'conflict'; readonly version: number}
	/** The change may have been made. */
	| {readonly kind: 'lost'}
	/** Nothing was changed. */
	| {readonly kind: 'failed'; readonly error: CtlError};

/** Kinds of errors that a message says everything about. */
type SimpleErrorKind =
	'not-found' | 'not-authorized' | 'not-allowed' | 'not-reached';

/** An entry host that stays silent leaves time to ask others. */
const callsInTimeout = 3;

const credentialKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.NotAuthorized,
	ErrorKind.KeyMissing,
	ErrorKind.KeyUnknown,
]);

export type AdministrationClientOptions = {
	/** Administration APIs of entry hosts, in the order to try them. */
	readonly urls: readonly string[];
	readonly credential: string;
	readonly clock: Clock;
	/** How long to go on trying. */
	readonly timeout: Milliseconds;
};

/** The administration API of any one of several entry hosts. */
export class AdministrationClient {
	readonly #connection: AdministrationConnection;
	/** The entry host to ask first stands first. */
	readonly #urls: string[];

	readonly #clock: Clock;
	readonly #end: Milliseconds;

	constructor({urls, credential, clock, timeout}: AdministrationClientOptions) {
		this.#urls = [...urls];
		this.#clock = clock;
		this.#end = clock.now() + timeout;
		this.#connection = new AdministrationConnection({
			credential,
			callTimeout: Math.ceil(timeout / callsInTimeout),
		});
	}

	/** Whether there is time to try again. */
	get hasTime(): boolean {
		return this.#clock.now() < this.#end;
	}

	async readConfiguration(): Promise<Result<VersionedConfiguration, CtlError>> {
		return this.#read('/configuration', versionedConfigurationSchema);
	}

	async readStatus(): Promise<Result<StatusAnswer, CtlError>> {
		return this.#read('/status', statusAnswerSchema);
	}

	/** Sends a whole configuration; the operation id may be sent again. */
	async sendConfiguration(
		expectedVersion: number,
		operationId: string,
		configuration: Configuration,
	): Promise<SendResult> {
		const operation = encodeURIComponent(operationId);
		return this.#change({
			method: 'PUT',
			path: `/configuration?expected=${expectedVersion}&operation=${operation}`,
			body: JSON.stringify(configuration),
		});
	}

	/** Sends the withdrawal of a key; the operation id may be sent again. */
	async sendKeyWithdrawal(
		keyName: string,
		operationId: string,
	): Promise<SendResult> {
		const operation = encodeURIComponent(operationId);
		return this.#change({
			method: 'POST',
			path: `/keys/${encodeURIComponent(keyName)}/withdraw?operation=${operation}`,
		});
	}

	async close(): Promise<void> {
		await this.#connection.close();
	}

	async #read<Schema extends z.ZodType>(
		path: string,
		schema: Schema,
	): Promise<Result<z.infer<Schema>, CtlError>> {
		const result = await this.#send({method: 'GET', path});
		if (result.kind !== 'answered') {
			return Result.err({kind: 'not-reached', message: result.message});
		}

		if (result.status !== 200) {
			return Result.err(toError(result.status, result.value));
		}

		const parsed = schema.safeParse(result.value);
		return parsed.success
			? Result.ok(parsed.data)
			: Result.err(createMalformedAnswer(parsed.error.message));
	}

	async #change(call: AdministrationCall): Promise<SendResult> {
		const result = await this.#send(call);
		if (result.kind === 'lost') {
			return {kind: 'lost'};
		}

		if (result.kind === 'not-reached') {
			const {message} = result;
			return {kind: 'failed', error: {kind: 'not-reached', message}};
		}

		const accepted = acceptedSchema.safeParse(result.value);
		if (result.status === 200) {
			return accepted.success
				? {kind: 'accepted', version: accepted.data.version}
				: {kind: 'lost'};
		}

		return toSendResult(result.status, result.value);
	}

	/**
	 * Asks one entry host after the other until one answers. A change whose
	 * answer was lost is not sent on from here.
	 */
	async #send(call: AdministrationCall): Promise<CallResult> {
		let result: CallResult = {kind: 'not-reached', message: 'No entry host'};
		const urls = [...this.#urls];
		for (const url of urls) {
			result = await this.#connection.send(url, call);
			if (isFinal(call, result)) {
				return result;
			}

			this.#setLast(url);
			if (result.kind === 'lost' && call.method !== 'GET') {
				return result;
			}
		}

		return result;
	}

	#setLast(url: string): void {
		this.#urls.splice(this.#urls.indexOf(url), 1);
		this.#urls.push(url);
	}
}

/** Whether no other entry host would do better. */
function isFinal(call: AdministrationCall, result: CallResult): boolean {
	if (result.kind !== 'answered') {
		return false;
	}

	const {kind} = parseError(result.value) ?? {};
	const isChangePossible = call.method !== 'GET' && !isNotRun(kind);
	return result.status < 500 || isChangePossible;
}

function isNotRun(kind: ErrorKind | undefined): boolean {
	return kind !== undefined && getErrorAnswer(kind).notRun;
}

function parseError(value: unknown): ErrorAnswer | undefined {
	const parsed = errorAnswerSchema.safeParse(value);
	return parsed.success ? parsed.data : undefined;
}

function toSendResult(status: number, value: unknown): SendResult {
	const answer = parseError(value);
	if (answer?.kind === ErrorKind.VersionConflict) {
		return {kind: 'conflict', version: answer.version ?? 0};
	}

	const isLost = answer ? !getErrorAnswer(answer.kind).notRun : status >= 500;
	return isLost
		? {kind: 'lost'}
		: {kind: 'failed', error: toError(status, value)};
}

function toError(status: number, value: unknown): CtlError {
	const answer = parseError(value);
	if (answer === undefined) {
		return createMalformedAnswer(`HTTP status ${status} without a known kind`);
	}

	const {kind, message, problems} = answer;
	if (kind === ErrorKind.InvalidConfiguration) {
		return {kind: 'invalid-configuration', problems};
	}

	return {kind: toCtlErrorKind(kind), message: `${kind}: ${message}`};
}

function toCtlErrorKind(kind: ErrorKind): SimpleErrorKind {
	if (kind === ErrorKind.NotFound) {
		return 'not-found';
	}

	if (credentialKinds.has(kind)) {
		return 'not-authorized';
	}

	return getErrorAnswer(kind).retry === 'never' ? 'not-allowed' : 'not-reached';
}

function createMalformedAnswer(message: string): CtlError {
	return {kind: 'malformed-answer', message};
}
