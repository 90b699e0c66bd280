import {randomUUID} from 'node:crypto';
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
import {Metrics} from '@parsleyvale/telemetry';
import {
	createAdministrationServer,
	type AdministrationServer,
} from './administration-server.js';
import {createCallerServer, type CallerServer} from './caller-server.js';
import {toLookUpAnswer} from './look-up-answer.js';
import {OperatorAnswers} from './operator-answers.js';
import {ServerConnections} from './server-connections.js';
import {computeStatus, type HostStatus} from './status.js';
import {StoreEdge} from './store-edge.js';

const tickInterval: Milliseconds = 10;
const logLevels = {error: 0, warn: 1, info: 3, debug: 4} as const;

/** Where a daemon listens, with the ports that the system chose. */
export type DaemonPorts = {
	readonly incarnation: string;
	readonly callers: number;
	readonly peers: number;
	readonly administration: number;
};

/** One entry host: the kernel with its plug-ins and the edges around it. */
export class Daemon {
	readonly #settings: Settings;
	readonly #clock: Clock = createSystemClock();
	readonly #incarnation = randomUUID();
	readonly #metrics = new Metrics();
	readonly #answers = new OperatorAnswers();
	readonly #connections = new ServerConnections();
	readonly #log: ConsolaInstance;
	readonly #configuration: ConfigurationPlugin;
	readonly #platform: PlatformClient;
	readonly #peers: Peers;
	readonly #callers: CallerServer;
	readonly #administration: AdministrationServer;
	#kernel!: Kernel;
	#driver!: KernelDriver;
	#store!: StoreEdge;
	#ticker: NodeJS.Timeout | undefined;
	#isStopping = false;
	#hasShare = false;

	constructor(settings: Settings) {
		this.#settings = settings;
		this.#log = createConsola({level: logLevels[settings.logLevel]});
		this.#configuration = createConfiguration();
		this.#platform = createPlatformClient({
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
		this.#callers = createCallerServer({
			endpoint: settings.callers,
			clock: this.#clock,
			connections: this.#connections,
			onEvent: (event) => {
				this.#driver.handle(event);
			},
		});
		this.#administration = createAdministrationServer({
			endpoint: settings.administration,
			credentialHash: settings.administrationHash,
			metrics: this.#metrics,
			answers: this.#answers,
			onEvent: (event) => {
				this.#driver.handle(event);
			},
			isReady: () => this.#isReady(),
			getConfiguration: () => this.#getConfiguration(),
			getStatus: () => this.#getStatus(),
		});
	}

	/** Listens, joins the other entry hosts and serves. */
	async start(): Promise<DaemonPorts> {
		const ports = {
			incarnation: this.#incarnation,
			callers: await this.#callers.listen(),
			peers: await this.#peers.listen(),
			administration: await this.#administration.listen(),
		};
		this.#createKernel(this.#toSelf(ports));
		this.#platform.watchHosts((hosts) => {
			this.#driver.handle({type: 'hosts-listed', hosts});
			this.#updatePeers();
		});
		this.#addKnownPeers();
		this.#ticker = setInterval(() => {
			this.#driver.handle({type: 'tick'});
		}, tickInterval);
		this.#log.info('started', ports);
		return ports;
	}

	/** Stops gracefully: nothing that runs is cut. */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		this.#log.info('stopping');
		this.#driver.handle({type: 'stop-requested'});
		this.#callers.stop();
		await wait(this.#settings.lookUpLifetimeMs);
		this.#driver.handle({type: 'intake-closed'});
		await this.#waitUntilIdle();
		await this.close();
		this.#log.info('stopped');
	}

	/** Gives everything up at once. */
	async close(): Promise<void> {
		clearInterval(this.#ticker);
		await this.#callers.close();
		await this.#administration.close();
		this.#store.close();
		this.#peers.close();
		await this.#platform.close();
		await this.#connections.close();
	}

	#toSelf(ports: DaemonPorts): EntryHost {
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
		this.#kernel = createKernel({self, random: Math.random})
			.use(this.#configuration)
			.use(
				createMembership({lookUpLifetimeMs: this.#settings.lookUpLifetimeMs}),
			)
			.use(createBudgets())
			.use(createRouting())
			.use(createClaims())
			.use(createRequests());
		this.#kernel.on('configuration-changed', ({current}) => {
			this.#connections.onConfigurationChanged(current.configuration);
		});
		this.#kernel.on('members-changed', () => {
			this.#updatePeers();
		});
		this.#driver = new KernelDriver(this.#kernel, this.#clock);
		this.#store = new StoreEdge(this.#platform, this.#driver);
		this.#addEffects();
	}

	#addEffects(): void {
		const driver = this.#driver;
		driver.onEffect('forward', (effect) => {
			this.#callers.findExchange(effect.requestId)?.forward(effect);
		});
		driver.onEffect('refuse', (effect) => {
			this.#callers.findExchange(effect.requestId)?.refuse(effect);
		});
		driver.onEffect('cancel-attempt', (effect) => {
			this.#callers.findExchange(effect.requestId)?.cancelAttempt(effect);
		});
		driver.onEffect('answer-look-up', ({lookUpId, hosts, lifetime}) => {
			const prefix = toHostKeyPrefix(this.#kernel.self, this.#clock.now());
			const answer = toLookUpAnswer(hosts, lifetime, prefix);
			this.#callers.answerLookUp(lookUpId, answer);
		});
		driver.onEffect('send-peer', ({to, topic, payload}) => {
			this.#peers.send(to, topic, payload);
		});
		driver.onEffect('answer-operator', (effect) => {
			this.#answers.answer(effect);
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
		const known = this.#kernel.inject(membershipKey).listKnown();
		this.#peers.setHosts(
			known.filter((host) => host.name !== this.#settings.name),
		);
	}

	async #waitUntilIdle(): Promise<void> {
		const end = this.#clock.now() + this.#settings.stopTimeoutMs;
		while (this.#kernel.isBusy(this.#clock.now()) && this.#clock.now() < end) {
			await wait(tickInterval);
		}
	}

	#isReady(): boolean {
		this.#hasShare ||= this.#findShare();
		return !this.#isStopping && this.#hasShare;
	}

	/** A host without a share of the rates could only refuse (issue 6). */
	#findShare(): boolean {
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

async function wait(span: Milliseconds): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, span);
	});
}

/**
 * One entry host, not yet started.
 *
 * @example
 * const daemon = createDaemon(settings);
 * const ports = await daemon.start();
 */
export function createDaemon(settings: Settings): Daemon {
	return new Daemon(settings);
}
