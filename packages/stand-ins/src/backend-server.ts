import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {
	createSystemClock,
	type Clock,
	type Endpoint,
	type Milliseconds,
} from '@parsleyvale/shared';
import {
	AbortReason,
	endAbortedJob,
	startDeadlineTimer,
} from './backend-deadline.js';
import {BackendControl} from './backend-control.js';
import {createBackendCounts, type BackendCounts} from './backend-counts.js';
import {runJobWithFaults} from './backend-fault-responses.js';
import {BackendFaultInjector, type BackendFaults} from './backend-faults.js';
import type {BackendJob} from './backend-job.js';
import {sendRefusal, type Refusal} from './backend-refusal.js';
import {
	computeServiceTime,
	createBackendServerOptions,
	type BackendServerOptions,
	type PartialBackendServerOptions,
} from './backend-server-options.js';
import {blockEventLoop} from './busy-work.js';
import {
	ExecutionLog,
	getHeader,
	type ExecutionRecord,
} from './execution-log.js';
import {sendJson} from './http-json.js';
import {startListening, stopListening} from './http-listener.js';
import {LoadReport} from './load-report.js';
import {ServiceSlots} from './service-slots.js';

const keepAliveTimeout: Milliseconds = 60_000;

/** A backend server for tests that logs its executions and injects faults on request. */
export class BackendServer {
	readonly log: ExecutionLog;
	readonly counts: BackendCounts = createBackendCounts();
	readonly faultInjector = new BackendFaultInjector();
	readonly loadReport: LoadReport;
	isDraining = false;

	readonly #options: BackendServerOptions;
	readonly #clock: Clock = createSystemClock();
	readonly #startedAt: Milliseconds;
	readonly #slots: ServiceSlots;
	readonly #server: Server;
	readonly #control: BackendControl;
	#endpoint: Endpoint;

	constructor(options: BackendServerOptions) {
		this.#options = options;
		this.#endpoint = options;
		this.#startedAt = this.#clock.now();
		this.log = new ExecutionLog();
		this.loadReport = new LoadReport(this.#clock);
		this.#slots = new ServiceSlots(options.slots, options.queueLength);
		this.#control = new BackendControl(this);
		this.#server = this.#createServer();
	}

	/** Address and port that accept requests. */
	get endpoint(): Endpoint {
		return this.#endpoint;
	}

	/** Address and port of the control API. */
	get controlEndpoint(): Endpoint {
		return this.#control.endpoint;
	}

	async start(): Promise<void> {
		const {address, controlPort} = this.#options;
		this.#endpoint = await startListening(this.#server, this.#options);
		await this.#control.start({address, port: controlPort});
	}

	async close(): Promise<void> {
		await stopListening(this.#server);
		await this.#control.close();
	}

	#createServer(): Server {
		const server = createServer({
			keepAliveTimeout,
			requestTimeout: 0,
			noDelay: true,
		});
		server.maxConnections = this.#options.connections;
		server.on('connection', (socket) => {
			this.#onConnection(socket);
		});
		server.on('request', (request, response) => {
			void this.#serve(request, response, false);
		});
		server.on(
			'checkContinue',
			(request: IncomingMessage, response: ServerResponse) => {
				void this.#serve(request, response, true);
			},
		);
		return server;
	}

	#onConnection(socket: Socket): void {
		const {counts} = this;
		blockEventLoop(this.#clock, this.#options.connectCost);
		counts.connections += 1;
		counts.openConnections += 1;
		counts.maximumOpenConnections = Math.max(
			counts.maximumOpenConnections,
			counts.openConnections,
		);
		socket.once('close', () => {
			counts.openConnections -= 1;
		});
	}

	async #serve(
		request: IncomingMessage,
		response: ServerResponse,
		expectsContinue: boolean,
	): Promise<void> {
		if (request.url === '/health') {
			this.#respondToProbe(response);
			return;
		}

		if (request.url === '/load') {
			sendJson(response, 200, this.#toLoadSummary());
			return;
		}

		const faults = this.faultInjector.take();
		if (this.isDraining || faults.mode === 'refuse') {
			this.counts.refusedInDrain += this.isDraining ? 1 : 0;
			sendRefusal(request, response, 503, this.#createRefusal());
			return;
		}

		await this.#handle(request, response, {expectsContinue, faults});
	}

	async #handle(
		request: IncomingMessage,
		response: ServerResponse,
		options: {expectsContinue: boolean; faults: BackendFaults},
	): Promise<void> {
		const abort = new AbortController();
		const deadlineTimer = startDeadlineTimer(
			request,
			abort,
			options.faults.mode,
		);
		response.once('close', () => {
			clearTimeout(deadlineTimer);
			if (!response.writableFinished) {
				abort.abort(new AbortReason('cancelled'));
			}
		});

		const pendingSlot = this.#slots.acquire(abort.signal);
		this.#recordLoad();
		const slotResult = await pendingSlot;
		if (slotResult !== 'granted') {
			this.counts[slotResult] += 1;
			this.#recordLoad();
			const status = slotResult === 'shed' ? 503 : 504;
			sendRefusal(request, response, status, this.#createRefusal());
			return;
		}

		if (options.expectsContinue) {
			response.writeContinue();
		}

		await this.#run(request, response, abort.signal, options.faults);
		this.#slots.release();
		this.#recordLoad();
	}

	async #run(
		request: IncomingMessage,
		response: ServerResponse,
		signal: AbortSignal,
		faults: BackendFaults,
	): Promise<void> {
		const uptime = this.#clock.now() - this.#startedAt;
		this.counts.begun += 1;
		const record = this.log.begin(request);
		const job: BackendJob = {
			request,
			response,
			record,
			serverName: this.#options.name,
			serviceTime: computeServiceTime(this.#options, uptime),
			signal,
			reportedLoad: this.loadReport.load,
		};
		try {
			await runJobWithFaults(job, faults);
			record.end(faults.mode === 'none' ? 'completed' : 'faulty');
		} catch {
			const outcome = endAbortedJob(job);
			this.counts.cancelled += outcome === 'cancelled' ? 1 : 0;
		}
	}

	#createRefusal(): Refusal {
		return {
			serverName: this.#options.name,
			reportedLoad: this.loadReport.load,
			isDraining: this.isDraining,
		};
	}

	#respondToProbe(response: ServerResponse): void {
		this.counts.probes += 1;
		blockEventLoop(this.#clock, this.#options.probeCost);
		const status = this.isDraining ? 503 : 200;
		sendJson(response, status, {...this.#toLoadSummary(), status});
	}

	#toLoadSummary(): {name: string; inFlight: number; slots: number} {
		const {name, slots} = this.#options;
		return {name, inFlight: this.loadReport.load, slots};
	}

	#recordLoad(): void {
		const {inFlight} = this.#slots;
		this.loadReport.addSample(inFlight);
		this.counts.maximumInFlight = Math.max(
			this.counts.maximumInFlight,
			inFlight,
		);
	}
}

/**
 * Starts a backend server.
 *
 * @example
 * const server = await createBackendServer({
 * 	name: 'tpe-a-1',
 * 	address: '127.1.1.1',
 * 	port: 0,
 * });
 * await server.close();
 */
export async function createBackendServer(
	options: PartialBackendServerOptions,
): Promise<BackendServer> {
	const server = new BackendServer(createBackendServerOptions(options));
	await server.start();
	return server;
}
