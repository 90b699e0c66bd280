import type {HeldBytes} from '@parsleyvale/held-bytes';
import {KernelDriver} from '@parsleyvale/kernel';
import {
	createSystemClock,
	type Clock,
	type Endpoint,
	type Milliseconds,
} from '@parsleyvale/shared';
import {
	comparePositions,
	computeAcceptPeriod,
	createSteering,
	formatPosition,
	unreadPosition,
	type SteeringEffect,
	type SteeringEvent,
	type SteeringKernel,
	type SteeringSettings,
} from '@parsleyvale/steering';
import {
	LimitReporter,
	type LogWriter,
	type Metrics,
} from '@parsleyvale/telemetry';
import {CallerServer} from './caller-server.js';
import type {ConnectionLimits} from './connection-limits.js';
import {DigestCodec} from './digest-codec.js';
import type {HeaderNames} from './header-names.js';
import {NameHashes} from './name-hashes.js';
import {PeerTransport} from './peer-transport.js';
import {QueueTimeBound} from './queue-time-bound.js';
import {ServerConnections} from './server-connections.js';
import {StoreView} from './store-view.js';
import {SuspensionDetector} from './suspension-watch.js';

/** Timeouts fire at most this late: a fifth of the tolerated delay of a response. */
const tickInterval: Milliseconds = 50;
/** Sufficient while no request is open, as all other timeouts are longer. */
const idleTickInterval: Milliseconds = 200;
/** A stop completes this long before the host would be killed. */
const stopMargin: Milliseconds = 250;

export type EntryHostOptions = {
	readonly steering: SteeringSettings;
	/** Endpoint for requests of callers. */
	readonly callers: Endpoint;
	/** Endpoint for messages of other hosts. */
	readonly peers: Endpoint;
	readonly headerNames: HeaderNames;
	/** Limit on the requests of one caller's connection in progress at the same time. */
	readonly maximumPipelinedRequests: number;
	/** Account of the bytes held for callers; the entry host closes it. */
	readonly heldBytes: HeldBytes;
	readonly connectionLimits: ConnectionLimits;
	readonly log: LogWriter;
	readonly metrics: Metrics;
	readonly clock?: Clock;
	/** Called to remove another host's expired entry from the store. */
	readonly onHostEntryExpired: (name: string) => void;
	/** Called to write this host's entry to the store, as the store has lost it. */
	readonly onHostEntryMissing: () => void;
	/** Called to start or stop reading from the store; while stopped, other hosts pass on its changes. */
	readonly onReadingChanged: (isReading: boolean) => void;
	/** Called after the process was suspended: its state may be outdated, so the store should be read at once. */
	readonly onSuspended: () => void;
};

/** Forwards the requests of callers to backend servers, which register themselves in the store. */
export class EntryHost {
	readonly #options: EntryHostOptions;
	readonly #clock: Clock;
	readonly #kernel: SteeringKernel;
	readonly #driver: KernelDriver<SteeringEvent, SteeringEffect>;
	readonly #connections: ServerConnections;
	readonly #callerServer: CallerServer;
	readonly #peerTransport: PeerTransport;
	readonly #suspensionDetector: SuspensionDetector;
	readonly #queueTimeBound: QueueTimeBound;
	readonly #serverHashes = new NameHashes();
	readonly #customerHashes = new NameHashes();
	readonly #pendingLookUps = new Map<
		string,
		(addresses: readonly string[]) => void
	>();

	readonly #storeView: StoreView;
	#lookUpCount = 0;
	#tickTimer: NodeJS.Timeout | undefined;
	#isStopping = false;
	#isClosed = false;

	constructor(options: EntryHostOptions) {
		this.#options = options;
		this.#clock = options.clock ?? createSystemClock();
		this.#storeView = new StoreView(this.#clock);
		this.#suspensionDetector = new SuspensionDetector(this.#clock);
		this.#queueTimeBound = new QueueTimeBound(this.#clock);
		const onError = (error: unknown, type: string) => {
			this.#logInternalError(error, type);
		};

		this.#kernel = createSteering(options.steering, onError);
		this.#driver = new KernelDriver(this.#kernel, this.#clock, onError);
		this.#connections = new ServerConnections(
			this.#clock,
			options.headerNames.requestId,
		);
		const {log, metrics} = options;
		const limitReporter = new LimitReporter({
			clock: this.#clock,
			metrics,
			onLog(message, fields) {
				log.log('failure', message, fields);
			},
		});
		this.#callerServer = new CallerServer({
			endpoint: options.callers,
			headerNames: options.headerNames,
			clock: this.#clock,
			connections: this.#connections,
			maximumPipelinedRequests: options.maximumPipelinedRequests,
			heldBytes: options.heldBytes,
			connectionLimits: options.connectionLimits,
			onLimit(limit) {
				limitReporter.onReached(limit);
			},
			onEvent: (event) => {
				this.handle(event);
			},
			onError,
		});
		this.#peerTransport = new PeerTransport({
			endpoint: options.peers,
			codec: new DigestCodec(this.#serverHashes, this.#customerHashes),
			queueTimeBound: this.#queueTimeBound,
			onDigest: (digest, maximumQueueTime) => {
				this.handle({type: 'digest-received', digest, maximumQueueTime});
			},
			getDelta: (version, position) =>
				this.#storeView.createDelta(version, position),
			onError(message, reason) {
				options.log.log('failure', message, {reason});
			},
		});
		this.#registerEffectHandlers();
		this.#registerGauges();
	}

	/** Whether this host can serve callers. */
	get isReady(): boolean {
		return (
			!this.#isStopping &&
			this.#storeView.configuration !== undefined &&
			this.#storeView.hasServers
		);
	}

	/** Number of callers' requests without a complete response. */
	get openRequestCount(): number {
		return this.#callerServer.openRequestCount;
	}

	/** Starts listening for callers and other hosts. */
	async start(): Promise<void> {
		await Promise.all([
			this.#callerServer.listen(),
			this.#peerTransport.listen(),
		]);
		this.#scheduleTick();
		const {self, isFirstStart} = this.#options.steering;
		this.#options.log.log('belief', 'started', {
			incarnation: self.incarnation,
			isFirstStart,
		});
	}

	/** Handles an event from the store, a caller or another host. */
	handle(event: SteeringEvent): void {
		this.#storeView.apply(event);
		if (event.type === 'configuration-read') {
			this.#callerServer.applyLimits(event.configuration.limits);
			const {customers} = event.configuration;
			this.#customerHashes.setNames(customers.map(({name}) => name));
		} else if (event.type === 'fleet-listed') {
			this.#serverHashes.setNames(event.servers.map(({id}) => id));
		}

		this.#driver.handle(event);
	}

	/** Finds the addresses to which callers in a failure domain should connect. */
	lookUp(
		region: string,
		failureDomain: string,
		onAnswer: (addresses: readonly string[]) => void,
	): void {
		this.#lookUpCount += 1;
		const lookUpId = String(this.#lookUpCount);
		this.#pendingLookUps.set(lookUpId, onAnswer);
		this.handle({type: 'look-up-arrived', lookUpId, region, failureDomain});
	}

	/**
	 * Stops gracefully: requests already accepted are completed within the stop timeout;
	 * those that arrive late on open connections are refused as not run.
	 */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		const {stopTimeout} = this.#options.steering;
		const stopDeadline = this.#clock.now() + stopTimeout - stopMargin;
		this.handle({type: 'stop-requested'});
		this.#callerServer.startClosing();
		await sleep(computeAcceptPeriod(stopTimeout));
		this.#callerServer.stopListening();
		while (
			this.#callerServer.openRequestCount > 0 &&
			this.#clock.now() < stopDeadline
		) {
			await sleep(tickInterval);
			this.#callerServer.closeIdle();
		}

		this.#options.log.log('belief', 'stopped', {
			unfinished: this.#callerServer.openRequestCount,
		});
		this.close();
	}

	/** Closes all connections immediately; does nothing if already closed. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		clearTimeout(this.#tickTimer);
		this.#callerServer.close();
		this.#options.heldBytes.close();
		this.#peerTransport.close();
		this.#connections.close();
	}

	/** Logs a fault of this program that concerned one event or effect; the process goes on. */
	#logInternalError(error: unknown, type: string): void {
		this.#options.log.log('failure', 'internal error', {
			type,
			reason: error instanceof Error ? error.stack : String(error),
		});
	}

	#scheduleTick(): void {
		const interval =
			this.#callerServer.openRequestCount > 0 ? tickInterval : idleTickInterval;
		this.#tickTimer = setTimeout(() => {
			this.#tick();
			if (!this.#isClosed) {
				this.#scheduleTick();
			}
		}, interval);
	}

	#tick(): void {
		this.#queueTimeBound.update();
		if (this.#suspensionDetector.wasSuspended()) {
			this.handle({type: 'suspended'});
			this.#options.onSuspended();
		}

		this.handle({type: 'tick'});
	}

	async #tryFetchDelta(peer: Endpoint): Promise<void> {
		try {
			await this.#fetchDelta(peer);
		} catch (error) {
			this.#logInternalError(error, 'fetch-copy');
		}
	}

	async #fetchDelta(
		peer: Endpoint,
		position = this.#storeView.position,
	): Promise<void> {
		const requestedAt = this.#clock.now();
		const {version} = this.#storeView;
		const delta = await this.#peerTransport.fetchDelta(peer, version, position);
		if (delta === undefined) {
			return;
		}

		// When the peer created the delta is unknown, so the whole round trip counts as age.
		const roundTripTime = this.#clock.now() - requestedAt;
		const confirmationAge =
			delta.configurationAgeMs === null
				? undefined
				: delta.configurationAgeMs + roundTripTime;
		if (delta.configuration !== undefined) {
			const {configuration} = delta;
			this.handle({type: 'configuration-read', configuration, confirmationAge});
		} else if (confirmationAge !== undefined) {
			const event = {type: 'configuration-confirmed', confirmationAge} as const;
			this.handle({...event, version: delta.version});
		}

		const isNewer =
			comparePositions(delta.position, this.#storeView.position) > 0 ||
			comparePositions(
				delta.evacuationsPosition,
				this.#storeView.evacuationsPosition,
			) > 0;
		if (!isNewer) {
			return;
		}

		const servers = this.#storeView.merge(delta);
		if (servers !== undefined) {
			const {evacuationsPosition, evacuated} = delta;
			this.handle({
				type: 'fleet-listed',
				position: delta.position,
				servers,
				evacuationsPosition,
				evacuated,
			});
		} else if (position.revision >= 0) {
			this.#options.log.log('belief', 'list of servers differs from peer', {
				position: formatPosition(position),
				peerPosition: formatPosition(delta.position),
			});
			await this.#fetchDelta(peer, unreadPosition);
		}
	}

	#registerEffectHandlers(): void {
		const driver = this.#driver;
		driver.onEffect('forward', (effect) => {
			this.#callerServer.findExchange(effect.requestId)?.forward(effect);
		});
		driver.onEffect('deliver', ({requestId, attempt}) => {
			this.#callerServer.findExchange(requestId)?.deliver(attempt);
		});
		driver.onEffect('refuse', ({requestId, kind, retryAfter}) => {
			this.#callerServer.findExchange(requestId)?.refuse(kind, retryAfter);
		});
		driver.onEffect('cancel-attempt', ({requestId, attempt}) => {
			this.#callerServer.findExchange(requestId)?.cancelAttempt(attempt);
		});
		driver.onEffect('answer-look-up', ({lookUpId, callers}) => {
			this.#pendingLookUps.get(lookUpId)?.(callers);
			this.#pendingLookUps.delete(lookUpId);
		});
		driver.onEffect('send-digest', ({to, digest}) => {
			this.#peerTransport.sendDigest(to, digest);
		});
		driver.onEffect('fetch-copy', ({address, port}) => {
			void this.#tryFetchDelta({address, port});
		});
		driver.onEffect('set-reading', ({isReading}) => {
			this.#options.onReadingChanged(isReading);
		});
		driver.onEffect('write-host-entry', () => {
			this.#options.onHostEntryMissing();
		});
		driver.onEffect('remove-host-entry', ({name}) => {
			this.#options.onHostEntryExpired(name);
		});
		driver.onEffect('count', ({name, labels}) => {
			this.#options.metrics.count({type: 'count', name, labels, by: 1});
		});
		driver.onEffect('observe', (effect) => {
			this.#options.metrics.observe(effect);
		});
		driver.onEffect('log', ({priority, message, fields}) => {
			this.#options.log.log(priority, message, fields);
		});
	}

	#registerGauges(): void {
		const {metrics, log, heldBytes} = this.#options;
		metrics.addGauge('held_bytes', () => heldBytes.total);
		metrics.addGauge('held_bytes_entries', () => heldBytes.entryCount);
		metrics.addGauge(
			'requests_open',
			() => this.#callerServer.openRequestCount,
		);
		metrics.addGauge(
			'server_connections_open',
			() => this.#connections.openCount,
		);
		metrics.addGauge(
			'server_connections_opened',
			() => this.#connections.openedCount,
		);
		metrics.addGauge('log_lines_dropped', () => log.dropped);
		metrics.addGauge('configuration_version', () => this.#storeView.version);
		metrics.addGauge(
			'configuration_age_ms',
			() => this.#storeView.configurationAge ?? -1,
		);
		metrics.addGauge('servers_known', () => this.#storeView.serverCount);
	}
}

async function sleep(duration: Milliseconds): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, duration);
	});
}

/**
 * Creates an entry host without starting it.
 *
 * @example
 * const host = createEntryHost(options);
 * await host.start();
 */
export function createEntryHost(options: EntryHostOptions): EntryHost {
	return new EntryHost(options);
}
