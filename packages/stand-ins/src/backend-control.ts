import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Endpoint} from '@parsleyvale/shared';
import * as z from 'zod';
import type {BackendCounts} from './backend-counts.js';
import {
	backendFaultsSchema,
	type BackendFaultInjector,
} from './backend-faults.js';
import type {ExecutionLog} from './execution-log.js';
import {readJson, sendJson} from './http-json.js';
import {startListening, stopListening} from './http-listener.js';
import {loadReportSettingsSchema, type LoadReport} from './load-report.js';

const maximumBodyBytes = 65_536;
const drainSchema = z.strictObject({draining: z.boolean()});

/** The part of a backend server that the control API reads and changes. */
export type ControlledServer = {
	readonly log: ExecutionLog;
	readonly counts: BackendCounts;
	readonly faultInjector: BackendFaultInjector;
	readonly loadReport: LoadReport;
	isDraining: boolean;
};

/** The control API of a backend server, on a separate port. */
export class BackendControl {
	readonly #controlledServer: ControlledServer;
	readonly #server: Server;
	#endpoint: Endpoint = {address: '0.0.0.0', port: 0};

	constructor(controlledServer: ControlledServer) {
		this.#controlledServer = controlledServer;
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
	}

	get endpoint(): Endpoint {
		return this.#endpoint;
	}

	async start(endpoint: Endpoint): Promise<void> {
		this.#endpoint = await startListening(this.#server, endpoint);
	}

	async close(): Promise<void> {
		await stopListening(this.#server);
	}

	async #serve(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		try {
			sendJson(response, 200, await this.#handle(request));
		} catch (error) {
			sendJson(response, 400, {message: String(error)});
		}
	}

	async #handle(request: IncomingMessage): Promise<unknown> {
		const server = this.#controlledServer;
		switch (`${request.method} ${request.url}`) {
			case 'GET /executions': {
				return server.log.list();
			}

			case 'DELETE /executions': {
				server.log.clear();
				return {};
			}

			case 'GET /counts': {
				return server.counts;
			}

			case 'PUT /faults': {
				const faults = await readJson(
					request,
					maximumBodyBytes,
					backendFaultsSchema,
				);
				server.faultInjector.set(faults);
				return faults;
			}

			case 'PUT /drain': {
				const drain = await readJson(request, maximumBodyBytes, drainSchema);
				server.isDraining = drain.draining;
				return drain;
			}

			case 'PUT /load-report': {
				const settings = await readJson(
					request,
					maximumBodyBytes,
					loadReportSettingsSchema,
				);
				server.loadReport.settings = settings;
				return settings;
			}

			default: {
				throw new Error('Unknown control request');
			}
		}
	}
}
