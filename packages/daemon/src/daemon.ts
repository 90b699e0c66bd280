import {randomUUID} from 'node:crypto';
import os from 'node:os';
import {getHeapStatistics} from 'node:v8';
import {createConsola, type ConsolaInstance} from 'consola';
import {createBudgets} from '@parsleyvale/budgets';
import {
	createConfiguration,
	type ConfigurationPlugin,
} from '@parsleyvale/configuration';
import {
	budgetsKey,
	configurationKey,
	createKernel,
	KernelDriver,
	membershipKey,
	toCustomerBudgetId,
	type Kernel,
	type Log,
} from '@parsleyvale/kernel';
import {estimateMaximumBytes, HeldBytes} from '@parsleyvale/held-bytes';
import {createMembership} from '@parsleyvale/membership';
import {createPeers, type Peers} from '@parsleyvale/peers';
import {createPlatformClient, type PlatformClient} from '@parsleyvale/platform';
import {
	createClaims,
	createRequests,
	toHostKeyPrefix,
} from '@parsleyvale/requests';
import {createRouting} from '@parsleyvale/routing';
import {
	configurationSchema,
	createSystemClock,
	type Clock,
	type EntryHost,
	type Milliseconds,
	type Settings,
	type VersionedConfiguration,
} from '@parsleyvale/shared';
import {LimitReporter, Metrics} from '@parsleyvale/telemetry';
import {
	createAdministrationServer,
	type AdministrationServer,
} from './administration-server.js';
import {createCallerServer, type CallerServer} from './caller-server.js';
import {toLookUpAnswer} from './look-up-answer.js';
import {PendingOperations} from './pending-operations.js';
import {ServerConnections} from './server-connections.js';
import {computeStatus, type HostStatus} from './status.js';
import {StoreAdapter} from './store-adapter.js';

const tickInterval: Milliseconds = 10;
/** Open requests end this long before the stop timeout, so that their responses can be sent. */
const responseMargin: Milliseconds = 400;
const bytesPerMegabyte = 1_000_000;
const logLevels = {error: 0, warn: 1, info: 3, debug: 4} as const;

/** Incarnation of a started daemon and the ports that it listens on. */
export type DaemonPorts = {
	readonly incarnation: string;
	readonly callers: number;
	readonly peers: number;
	readonly administration: number;
};

/**
 * The process of an entry host: runs the kernel with its plug-ins and connects it
 * to callers, backend servers, peers, operators and the platform.
 */
export class Daemon {
	readonly #settings: Settings;
	readonly #clock: Clock = createSystemClock();
	readonly #incarnation = randomUUID();
	readonly #metrics = new Metrics();
	readonly #pendingOperations = new PendingOperations();
	readonly #serverConnections = new ServerConnections();
	readonly #log: ConsolaInstance;
	readonly #heldBytes: HeldBytes;
	readonly #limitReporter: LimitReporter;
	readonly #configuration: ConfigurationPlugin;
	readonly #platformClient: PlatformClient;
	readonly #peers: Peers;
	readonly #callerServer: CallerServer;
	readonly #administrationServer: AdministrationServer;
	#kernel!: Kernel;
	#driver!: KernelDriver;
	#storeAdapter!: StoreAdapter;
	#tickTimer: NodeJS.Timeout | undefined;
	#isStopping = false;
	#hasReceivedShare = false;

	constructor(settings: Settings) {
		this.#settings = settings;
		this.#log = createConsola({level: logLevels[settings.logLevel]});
		this.#configuration = createConfiguration();
		this.#platformClient = createPlatformClient({
			url: settings.store.url,
			clock: this.#clock,
		});
		this.#peers = createPeers({
			self: {name: settings.name, incarnation: this.#incarnation},
			endpoint: settings.peers,
			onMessage: (message) => {
				this.#driver.handle({type: 'peer-message', ...message});
			},
			onUnreachable: (name) => {
				this.#driver.handle({type: 'peer-unreachable', name});
			},
		});
		this.#heldBytes = this.#createHeldBytes();
		this.#limitReporter = new LimitReporter({
			clock: this.#clock,
			metrics: this.#metrics,
			onLog: (message, fields) => {
				this.#writeLog({type: 'log', level: 'warn', message, fields});
			},
		});
		this.#callerServer = createCallerServer({
			endpoint: settings.callers,
			clock: this.#clock,
			connections: this.#serverConnections,
			maximumPipelinedRequests: settings.maximumPipelinedRequests,
			limits: settings.limits,
			heldBytes: this.#heldBytes,
			reporter: this.#limitReporter,
			onEvent: (event) => {
				this.#driver.handle(event);
			},
		});
		this.#administrationServer = createAdministrationServer({
			endpoint: settings.administration,
			credentialHash: settings.administrationHash,
			metrics: this.#metrics,
			pendingOperations: this.#pendingOperations,
			reporter: this.#limitReporter,
			onEvent: (event) => {
				this.#driver.handle(event);
			},
			isReady: () => this.#isReady(),
			getConfiguration: () => this.#getConfiguration(),
			getStatus: () => this.#getStatus(),
		});
	}

	/** Starts to listen, joins the other entry hosts and serves requests. */
	async start(): Promise<DaemonPorts> {
		const ports = {
			incarnation: this.#incarnation,
			callers: await this.#callerServer.listen(),
			peers: await this.#peers.listen(),
			administration: await this.#administrationServer.listen(),
		};
		this.#createKernel(this.#toEntryHost(ports));
		this.#platformClient.watchHosts((hosts) => {
			this.#driver.handle({type: 'hosts-listed', hosts});
			this.#updatePeers();
		});
		this.#addKnownPeers();
		this.#tickTimer = setInterval(() => {
			this.#driver.handle({type: 'tick'});
		}, tickInterval);
		this.#log.info('started', ports);
		return ports;
	}

	/**
	 * Stops gracefully. New requests are accepted until the look-up answers that
	 * name this host have expired; open ones end with a response before the stop
	 * timeout.
	 */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		this.#log.info('stopping');
		this.#driver.handle({type: 'stop-requested'});
		this.#callerServer.stop();
		await sleep(this.#settings.lookUpLifetimeMs);
		const stopDeadline = this.#clock.now() + this.#settings.stopTimeoutMs;
		this.#driver.handle({
			type: 'intake-closed',
			deadline: stopDeadline - responseMargin,
		});
		await this.#waitUntilIdle(stopDeadline);
		await this.close();
		this.#log.info('stopped');
	}

	/** Closes all servers and clients without a graceful stop. */
	async close(): Promise<void> {
		clearInterval(this.#tickTimer);
		await this.#callerServer.close();
		this.#heldBytes.close();
		await this.#administrationServer.close();
		this.#storeAdapter.close();
		this.#peers.close();
		await this.#platformClient.close();
		await this.#serverConnections.close();
	}

	#createHeldBytes(): HeldBytes {
		const {memoryMb} = this.#settings.limits;
		const memoryBytes =
			memoryMb === undefined ? os.totalmem() : memoryMb * bytesPerMegabyte;
		const heldBytes = new HeldBytes({
			maximumBytes: estimateMaximumBytes(
				memoryBytes,
				getHeapStatistics().heap_size_limit,
			),
			clock: this.#clock,
		});
		this.#metrics.addGauge('held_bytes', () => heldBytes.total);
		this.#metrics.addGauge('held_bytes_entries', () => heldBytes.entryCount);
		return heldBytes;
	}

	#toEntryHost(ports: DaemonPorts): EntryHost {
		const {name, region, failureDomain, callers, peers} = this.#settings;
		return {
			name,
			incarnation: this.#incarnation,
			region,
			failureDomain,
			callers: {...callers, port: ports.callers},
			peers: {...peers, port: ports.peers},
			leaving: false,
		};
	}

	#createKernel(self: EntryHost): void {
		const onError = (error: unknown, type: string) => {
			this.#log.error('internal error', {type, error});
		};

		this.#kernel = createKernel({
			self,
			random: Math.random,
			onHandlerError: onError,
		})
			.use(this.#configuration)
			.use(
				createMembership({lookUpLifetimeMs: this.#settings.lookUpLifetimeMs}),
			)
			.use(createBudgets())
			.use(createRouting())
			.use(createClaims())
			.use(createRequests());
		this.#kernel.on('configuration-changed', ({current}) => {
			this.#serverConnections.onConfigurationChanged(current.configuration);
		});
		this.#kernel.on('members-changed', () => {
			this.#updatePeers();
		});
		this.#driver = new KernelDriver(this.#kernel, this.#clock, onError);
		this.#storeAdapter = new StoreAdapter(this.#platformClient, this.#driver);
		this.#registerEffectHandlers();
	}

	#registerEffectHandlers(): void {
		const driver = this.#driver;
		driver.onEffect('forward', (effect) => {
			this.#callerServer.findExchange(effect.requestId)?.forward(effect);
		});
		driver.onEffect('refuse', (effect) => {
			this.#callerServer.findExchange(effect.requestId)?.refuse(effect);
		});
		driver.onEffect('cancel-attempt', (effect) => {
			this.#callerServer.findExchange(effect.requestId)?.cancelAttempt(effect);
		});
		driver.onEffect('answer-look-up', ({lookUpId, hosts, lifetime}) => {
			const keyPrefix = toHostKeyPrefix(this.#kernel.self, this.#clock.now());
			const answer = toLookUpAnswer(hosts, lifetime, keyPrefix);
			this.#callerServer.answerLookUp(lookUpId, answer);
		});
		driver.onEffect('send-peer', ({to, topic, payload}) => {
			this.#peers.send(to, topic, payload);
		});
		driver.onEffect('answer-operator', (effect) => {
			this.#pendingOperations.settle(effect);
		});
		driver.onEffect('count', (effect) => {
			this.#metrics.count(effect);
		});
		driver.onEffect('observe', (effect) => {
			this.#metrics.observe(effect);
		});
		driver.onEffect('log', (effect) => {
			this.#writeLog(effect);
		});
	}

	#addKnownPeers(): void {
		const {knownPeers, region, failureDomain} = this.#settings;
		const hosts = knownPeers.map(({name, peers}) => ({
			name,
			incarnation: '',
			region,
			failureDomain,
			callers: {...peers, port: 0},
			peers,
			leaving: false,
		}));
		if (hosts.length > 0) {
			this.#driver.handle({type: 'hosts-listed', hosts});
			this.#updatePeers();
		}
	}

	#updatePeers(): void {
		const knownHosts = this.#kernel.inject(membershipKey).listKnown();
		this.#peers.setHosts(
			knownHosts.filter((host) => host.name !== this.#settings.name),
		);
	}

	async #waitUntilIdle(stopDeadline: Milliseconds): Promise<void> {
		while (
			this.#kernel.isBusy(this.#clock.now()) &&
			this.#clock.now() < stopDeadline
		) {
			await sleep(tickInterval);
		}
	}

	#isReady(): boolean {
		this.#hasReceivedShare ||= this.#hasRateShare();
		return !this.#isStopping && this.#hasReceivedShare;
	}

	/** A host without a share of the rates would refuse every request (issue 6). */
	#hasRateShare(): boolean {
		const {version, configuration} = this.#getConfiguration();
		const budgets = this.#kernel.inject(budgetsKey);
		const now = this.#clock.now();
		return (
			version > 0 &&
			(budgets.hasShare(now) ||
				configuration.customers.some(
					({name}) => budgets.getAvailable(toCustomerBudgetId(name), now) > 0,
				))
		);
	}

	#getConfiguration(): VersionedConfiguration {
		return (
			this.#kernel.inject(configurationKey).current ?? {
				version: 0,
				operationId: '',
				configuration: configurationSchema.parse({}),
			}
		);
	}

	#getStatus(): HostStatus {
		return computeStatus({
			kernel: this.#kernel,
			current: this.#getConfiguration(),
			versions: this.#configuration.listVersions(this.#clock.now()),
			now: this.#clock.now(),
		});
	}

	#writeLog({level, message, fields}: Log): void {
		this.#log[level](message, fields);
	}
}

async function sleep(duration: Milliseconds): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, duration);
	});
}

/**
 * Creates the daemon of an entry host without starting it.
 *
 * @example
 * const daemon = createDaemon(settings);
 * const ports = await daemon.start();
 */
export function createDaemon(settings: Settings): Daemon {
	return new Daemon(settings);
}
