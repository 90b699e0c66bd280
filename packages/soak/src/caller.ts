import {Agent, request} from 'node:http';
import type {Clock, Endpoint, Milliseconds} from '@parsleyvale/shared';

/** A request sent by a caller and its outcome. */
export type CallerRecord = {
	readonly id: string;
	readonly key: string;
	readonly isSafe: boolean;
	readonly daemon: string;
	readonly sentAt: Milliseconds;
	/** Whether the request was sent on a reused keep-alive connection. */
	readonly isOnReusedConnection: boolean;
	endedAt: Milliseconds | undefined;
	/** Undefined if no complete response was received. */
	status: number | undefined;
	body: string;
	/** Error code or reason if no complete response was received. */
	failure: string | undefined;
};

export type CallerRequest = {
	readonly id: string;
	readonly key: string;
	readonly isSafe: boolean;
	readonly daemon: string;
	readonly endpoint: Endpoint;
	/** Undefined: one that servers execute. */
	readonly path?: string;
};

/** The caller aborts a request after this time. */
const deadline: Milliseconds = 3000;

/** An HTTP client that keeps its connections alive. */
export class Caller {
	readonly #clock: Clock;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 4});

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	close(): void {
		this.#agent.destroy();
	}

	/** Sends a request; its record is complete when the promise resolves. */
	async send(
		{
			id,
			key,
			isSafe,
			daemon,
			endpoint,
			path = isSafe ? '/read/x' : '/buy/x',
		}: CallerRequest,
		onRecord: (record: CallerRecord) => void,
	): Promise<void> {
		return new Promise((resolve) => {
			const clientRequest = request({
				host: endpoint.address,
				port: endpoint.port,
				method: isSafe ? 'GET' : 'POST',
				path,
				agent: this.#agent,
				headers: {
					host: 'a.example',
					'parsleyvale-request-id': id,
					'parsleyvale-request-deadline': String(deadline),
					'parsleyvale-affinity-key': String(id.length % 7),
					'x-api-key': key,
				},
			});
			const record: CallerRecord = {
				id,
				key,
				isSafe,
				daemon,
				sentAt: this.#clock.now(),
				isOnReusedConnection: clientRequest.reusedSocket,
				endedAt: undefined,
				status: undefined,
				body: '',
				failure: undefined,
			};
			onRecord(record);
			const finish = (failure: string | undefined) => {
				record.endedAt ??= this.#clock.now();
				record.failure ??= failure;
				resolve();
			};

			clientRequest.setTimeout(deadline, () => {
				clientRequest.destroy(new Error('deadline'));
			});
			clientRequest.on('error', (error: NodeJS.ErrnoException) => {
				finish(error.code ?? error.message);
			});
			clientRequest.on('response', (response) => {
				response.setEncoding('utf8');
				response.on('data', (chunk: string) => {
					record.body += chunk;
				});
				response.on('error', (error) => {
					finish(error.message);
				});
				response.on('end', () => {
					if (response.complete) {
						record.status = response.statusCode;
					}

					finish(response.complete ? undefined : 'cut');
				});
			});
			clientRequest.end(isSafe ? undefined : 'an order');
		});
	}
}
