import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {ByteCollector} from '@parsleyvale/held-bytes';
import {createSmallServer} from '@parsleyvale/pipelining';
import {
	ErrorKind,
	configurationSchema,
	getErrorResponse,
	parseRequestTarget,
	toProblems,
	type Endpoint,
	type Milliseconds,
	type Problem,
	type VersionedConfiguration,
} from '@parsleyvale/shared';
import type {KernelEvent} from '@parsleyvale/kernel';
import type {LimitReporter, Metrics} from '@parsleyvale/telemetry';
import {listen} from './listen.js';
import type {PendingOperations, OperationResult} from './pending-operations.js';

const maximumBodyBytes = 16 * 1024 * 1024;
const maximumConnections = 128;
const maximumConnectionsPerAddress = 64;
/** For a configuration of the maximum size over a slow connection. */
const requestTimeout: Milliseconds = 60_000;

export type AdministrationServerOptions = {
	readonly endpoint: Endpoint;
	/** SHA-256 of the operators' credential in hexadecimal. */
	readonly credentialHash: string;
	readonly metrics: Metrics;
	readonly pendingOperations: PendingOperations;
	readonly reporter: LimitReporter;
	readonly onEvent: (event: KernelEvent) => void;
	readonly isReady: () => boolean;
	readonly getConfiguration: () => VersionedConfiguration;
	readonly getStatus: () => unknown;
};

type RequestContext = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
};

/** HTTP API for the operators' tool, described in `docs/ADMINISTRATION.md`. */
export class AdministrationServer {
	readonly #options: AdministrationServerOptions;
	readonly #server: Server;

	constructor(options: AdministrationServerOptions) {
		this.#options = options;
		this.#server = createSmallServer({
			maximumConnections,
			maximumConnectionsPerAddress,
			requestTimeout,
			mayHaveBody: (request) => this.#isAuthorized(request),
			onLimitReached(limit) {
				options.reporter.onReached(`administration-${limit}`);
			},
			onRequest: (request, response) => {
				void this.#handleRequest(request, response);
			},
		});
	}

	/** Starts to listen and returns the port. */
	async listen(): Promise<number> {
		return listen(this.#server, this.#options.endpoint);
	}

	async close(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	async #handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const url = parseRequestTarget(request.url);
		if (url === undefined) {
			sendError(response, ErrorKind.MalformedRequest);
			return;
		}

		const context: RequestContext = {request, response, url};
		try {
			await (this.#isPublicPath(url)
				? this.#servePublicRequest(context)
				: this.#serveOperatorRequest(context));
		} catch {
			sendError(response, ErrorKind.Internal);
		}
	}

	#isPublicPath(url: URL): boolean {
		return ['/metrics', '/healthz', '/readyz'].includes(url.pathname);
	}

	async #servePublicRequest({response, url}: RequestContext): Promise<void> {
		const {metrics, isReady} = this.#options;
		if (url.pathname === '/metrics') {
			response.setHeader('content-type', metrics.contentType);
			response.end(await metrics.format());
			return;
		}

		const isOk = url.pathname === '/healthz' || isReady();
		response.statusCode = isOk ? 200 : 503;
		response.end(isOk ? 'ok\n' : 'not ready\n');
	}

	async #serveOperatorRequest(context: RequestContext): Promise<void> {
		const {request, response, url} = context;
		if (!this.#isAuthorized(request)) {
			sendError(response, ErrorKind.NotAuthorized);
			return;
		}

		const withdrawalMatch = /^\/keys\/([^/]+)\/withdraw$/.exec(url.pathname);
		if (request.method === 'POST' && withdrawalMatch !== null) {
			await this.#withdrawKey(context, decodeURIComponent(withdrawalMatch[1]!));
			return;
		}

		switch (`${request.method} ${url.pathname}`) {
			case 'GET /configuration': {
				sendJson(response, 200, this.#options.getConfiguration());
				break;
			}

			case 'GET /status': {
				sendJson(response, 200, this.#options.getStatus());
				break;
			}

			case 'PUT /configuration': {
				await this.#proposeConfiguration(context);
				break;
			}

			default: {
				sendError(response, ErrorKind.NotFound);
			}
		}
	}

	#isAuthorized(request: IncomingMessage): boolean {
		const [, credential = ''] = /^bearer +(.+)$/i.exec(
			request.headers.authorization ?? '',
		) ?? [''];
		const actualHash = createHash('sha256').update(credential).digest();
		const expectedHash = Buffer.from(this.#options.credentialHash, 'hex');
		return timingSafeEqual(actualHash, expectedHash);
	}

	async #proposeConfiguration({
		request,
		response,
		url,
	}: RequestContext): Promise<void> {
		const operationId = url.searchParams.get('operation') ?? '';
		const expected = url.searchParams.get('expected') ?? '';
		const problems = checkParameters(operationId, expected);
		const parsed = configurationSchema.safeParse(await readJson(request));
		if (!parsed.success) {
			problems.push(...toProblems('(request)', parsed.error.issues));
		}

		if (problems.length > 0 || !parsed.success) {
			sendError(response, ErrorKind.InvalidConfiguration, {problems});
			return;
		}

		const pendingResult =
			this.#options.pendingOperations.waitForResult(operationId);
		this.#options.onEvent({
			type: 'configuration-proposed',
			operationId,
			expectedVersion: Number(expected),
			configuration: parsed.data,
		});
		sendResult(response, await pendingResult);
	}

	async #withdrawKey(
		{response, url}: RequestContext,
		keyName: string,
	): Promise<void> {
		const operationId = url.searchParams.get('operation') ?? '';
		const problems = checkParameters(operationId, '0');
		if (problems.length > 0) {
			sendError(response, ErrorKind.InvalidConfiguration, {problems});
			return;
		}

		const pendingResult =
			this.#options.pendingOperations.waitForResult(operationId);
		this.#options.onEvent({
			type: 'key-withdrawal-requested',
			operationId,
			keyName,
		});
		sendResult(response, await pendingResult);
	}
}

function checkParameters(operationId: string, expected: string): Problem[] {
	const problems: Problem[] = [];
	if (!/^[\w-]{8,64}$/.test(operationId)) {
		problems.push({
			file: '(request)',
			field: 'operation',
			message: 'give 8 to 64 letters, digits or dashes that name this change',
		});
	}

	if (!/^\d+$/.test(expected)) {
		problems.push({
			file: '(request)',
			field: 'expected',
			message: 'give the version that the change was made from',
		});
	}

	return problems;
}

/** Returns undefined if the body is too large or not valid JSON. */
async function readJson(request: IncomingMessage): Promise<unknown> {
	const collector = new ByteCollector();
	for await (const chunk of request) {
		collector.add(chunk as Buffer);
		if (collector.length > maximumBodyBytes) {
			return undefined;
		}
	}

	try {
		return JSON.parse(collector.toBuffer().toString('utf8'));
	} catch {
		return undefined;
	}
}

function sendResult(response: ServerResponse, result: OperationResult): void {
	if (result.kind === 'accepted') {
		sendJson(response, 200, {version: result.version});
		return;
	}

	const {error, version, problems} = result;
	sendError(response, error, {version, problems});
}

function sendError(
	response: ServerResponse,
	kind: ErrorKind,
	details: Record<string, unknown> = {},
): void {
	const {httpStatus, message} = getErrorResponse(kind);
	sendJson(response, httpStatus, {kind, message, ...details});
}

function sendJson(
	response: ServerResponse,
	status: number,
	value: unknown,
): void {
	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.end(JSON.stringify(value));
}

export function createAdministrationServer(
	options: AdministrationServerOptions,
): AdministrationServer {
	return new AdministrationServer(options);
}
