import {Agent, request} from 'node:http';
import type {Clock, Endpoint, Milliseconds} from '@parsleyvale/shared';

/** One request of a caller and what came of it. */
export type CallerRecord = {
	readonly id: string;
	readonly key: string;
	readonly isSafe: boolean;
	readonly daemon: string;
	readonly sentAt: Milliseconds;
	/** Whether it went out on a connection that had served before. */
	readonly isOnKept: boolean;
	endedAt: Milliseconds | undefined;
	/** Undefined: no whole answer came. */
	status: number | undefined;
	body: string;
	/** Why no answer came. */
	problem: string | undefined;
};

export type CallerRequest = {
	readonly id: string;
	readonly key: string;
	readonly isSafe: boolean;
	readonly daemon: string;
	readonly endpoint: Endpoint;
};

/** A caller goes away after this time. */
const deadline: Milliseconds = 3000;

/** A caller that keeps its connections for as long as it may. */
export class Caller {
	readonly #clock: Clock;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 4});

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	close(): void {
		this.#agent.destroy();
	}

	/** Sends a request; the record is complete when the promise ends. */
	async send(
		{id, key, isSafe, daemon, endpoint}: CallerRequest,
		onRecord: (record: CallerRecord) => void,
	): Promise<void> {
		return new Promise((resolve) => {
			const call = request({
				host: endpoint.address,
				port: endpoint.port,
				method: isSafe ? 'GET' : 'POST',
				path: isSafe ? '/read/x' : '/buy/x',
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
				isOnKept: call.reusedSocket,
				endedAt: undefined,
				status: undefined,
				body: '',
				problem: undefined,
			};
			onRecord(record);
			const end = (problem: string | undefined) => {
				record.endedAt ??= this.#clock.now();
				record.problem ??= problem;
				resolve();
			};

			call.setTimeout(deadline, () => {
				call.destroy(new Error('deadline'));
			});
			call.on('error', (error: NodeJS.ErrnoException) => {
				end(error.code ?? error.message);
			});
			call.on('response', (answer) => {
				answer.setEncoding('utf8');
				answer.on('data', (text: string) => {
					record.body += text;
				});
				answer.on('error', (error) => {
					end(error.message);
				});
				answer.on('end', () => {
					if (answer.complete) {
						record.status = answer.statusCode;
					}

					end(answer.complete ? undefined : 'cut');
				});
			});
			call.end(isSafe ? undefined : 'an order');
		});
	}
}
