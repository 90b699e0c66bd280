import {KernelDriver} from '@parsleyvale/kernel';
import {
	createSystemClock,
	type Clock,
	type Endpoint,
	type Milliseconds,
} from '@parsleyvale/shared';
import {
	createSteering,
	type SteeringEffect,
	type SteeringEvent,
	type SteeringKernel,
	type SteeringSettings,
} from '@parsleyvale/steering';
import type {LogWriter, Metrics} from '@parsleyvale/telemetry';
import {FrontServer} from './front-server.js';
import {PeerLink} from './peer-link.js';
import {ServerConnections} from './server-connections.js';
import {StoreView} from './store-view.js';
import {SuspensionWatch} from './suspension-watch.js';
import type {WireNames} from './wire-names.js';

/** Time-outs are kept to within this: a fifth of what a late answer may cost. */
const tickInterval: Milliseconds = 50;
/** While no request is open, nothing has a time-out that short. */
const idleTickInterval: Milliseconds = 200;
/** A stopping host takes new connections for so long: look-up answers that name it run out. */
const acceptAfterStop: Milliseconds = 2500;
/** It ends this much before it would be killed. */
const stopMargin: Milliseconds = 250;

export type EntryHostOptions = {
	readonly steering: SteeringSettings;
	/** Where callers send requests. */
	readonly callers: Endpoint;
	/** Where other hosts reach this one. */
	readonly peers: Endpoint;
	readonly names: WireNames;
	readonly log: LogWriter;
	readonly metrics: Metrics;
	readonly clock?: Clock;
	/** An old entry of another host should leave the store. */
	readonly onHostGone: (name: string) => void;
	/** Follow the store, or leave that to other hosts. */
	readonly onReading: (isReading: boolean) => void;
	/** What was held to be fresh may be old: ask the store at once. */
	readonly onSuspended: () => void;
};

/** One host between callers and backend servers that register themselves. */
export class EntryHost {
	readonly #options: EntryHostOptions;
	readonly #clock: Clock;
	readonly #kernel: SteeringKernel;
	readonly #driver: KernelDriver<SteeringEvent, SteeringEffect>;
	readonly #connections: ServerConnections;
	readonly #front: FrontServer;
	readonly #peers: PeerLink;
	readonly #suspension: SuspensionWatch;
	readonly #lookUps = new Map<string, (callers: readonly string[]) => void>();
	readonly #view: StoreView;
	#lookUpCount = 0;
	#ticker: NodeJS.Timeout | undefined;
	#isStopping = false;
	#isClosed = false;

	constructor(options: EntryHostOptions) {
		this.#options = options;
		this.#clock = options.clock ?? createSystemClock();
		this.#view = new StoreView(this.#clock);
		this.#suspension = new SuspensionWatch(this.#clock);
		this.#kernel = createSteering(options.steering);
		this.#driver = new KernelDriver(this.#kernel, this.#clock);
		this.#connections = new ServerConnections(
			this.#clock,
			options.names.requestId,
		);
		this.#front = new FrontServer({
			endpoint: options.callers,
			names: options.names,
			clock: this.#clock,
			connections: this.#connections,
			onEvent: (event) => {
				this.handle(event);
			},
		});
		this.#peers = new PeerLink({
			endpoint: options.peers,
			onDigest: (digest) => {
				this.handle({type: 'digest-received', digest});
			},
			getCopy: (version, revision) => this.#view.toCopy(version, revision),
			onProblem(message, reason) {
				options.log.log('failure', message, {reason});
			},
		});
		this.#addEffects();
		this.#addGauges();
	}

	/** Whether callers may be sent here. */
	get isReady(): boolean {
		return (
			!this.#isStopping &&
			this.#view.configuration !== undefined &&
			this.#view.revision >= 0
		);
	}

	/** Listens for callers and other hosts. */
	async start(): Promise<void> {
		await Promise.all([this.#front.listen(), this.#peers.listen()]);
		this.#scheduleTick();
		const {self, isFirstStart} = this.#options.steering;
		this.#options.log.log('belief', 'started', {
			incarnation: self.incarnation,
			isFirstStart,
		});
	}

	/** Takes an event from the store, callers or other hosts. */
	handle(event: SteeringEvent): void {
		this.#view.apply(event);
		if (event.type === 'configuration-read') {
			this.#front.applyLimits(event.configuration.limits);
		}

		this.#driver.handle(event);
	}

	/** Where a caller of that place should connect. */
	lookUp(
		region: string,
		failureDomain: string,
		onAnswer: (callers: readonly string[]) => void,
	): void {
		this.#lookUpCount += 1;
		const lookUpId = String(this.#lookUpCount);
		this.#lookUps.set(lookUpId, onAnswer);
		this.handle({type: 'look-up-arrived', lookUpId, region, failureDomain});
	}

	/** Stops gracefully: what has been taken is finished. */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		const end =
			this.#clock.now() + this.#options.steering.stopBound - stopMargin;
		this.handle({type: 'stop-requested'});
		this.#front.startClosing();
		await wait(acceptAfterStop);
		this.#front.stopListening();
		while (this.#front.size > 0 && this.#clock.now() < end) {
			await wait(tickInterval);
			this.#front.closeIdle();
		}

		this.#options.log.log('belief', 'stopped', {unfinished: this.#front.size});
		this.close();
	}

	/** Gives everything up at once; closing again does nothing. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		clearTimeout(this.#ticker);
		this.#front.close();
		this.#peers.close();
		this.#connections.close();
	}

	#scheduleTick(): void {
		const interval = this.#front.size > 0 ? tickInterval : idleTickInterval;
		this.#ticker = setTimeout(() => {
			this.#tick();
			if (!this.#isClosed) {
				this.#scheduleTick();
			}
		}, interval);
	}

	#tick(): void {
		if (this.#suspension.hasJumped()) {
			this.handle({type: 'suspended'});
			this.#options.onSuspended();
		}

		this.handle({type: 'tick'});
	}

	async #fetchCopy(from: Endpoint): Promise<void> {
		const askedAt = this.#clock.now();
		const {version, revision} = this.#view;
		const copy = await this.#peers.fetchCopy(from, version, revision);
		if (copy === undefined) {
			return;
		}

		// The whole round trip counts as age: the copy may be as old as that.
		const way = this.#clock.now() - askedAt;
		const age =
			copy.configurationAgeMs === null
				? undefined
				: copy.configurationAgeMs + way;
		if (copy.configuration !== undefined) {
			const {configuration} = copy;
			this.handle({type: 'configuration-read', configuration, age});
		} else if (age !== undefined) {
			const event = {type: 'configuration-confirmed', age} as const;
			this.handle({...event, version: copy.version});
		}

		const isNewer =
			copy.revision > this.#view.revision ||
			copy.evacuationsRevision > this.#view.evacuationsRevision;
		if (isNewer) {
			const {revision: shown, evacuationsRevision, evacuated} = copy;
			this.handle({
				type: 'fleet-listed',
				revision: shown,
				servers: this.#view.merge(copy),
				evacuationsRevision,
				evacuated,
			});
		}
	}

	#addEffects(): void {
		const driver = this.#driver;
		driver.onEffect('forward', (effect) => {
			this.#front.findExchange(effect.requestId)?.forward(effect);
		});
		driver.onEffect('deliver', ({requestId, attempt}) => {
			this.#front.findExchange(requestId)?.deliver(attempt);
		});
		driver.onEffect('refuse', ({requestId, kind, retryAfter}) => {
			this.#front.findExchange(requestId)?.refuse(kind, retryAfter);
		});
		driver.onEffect('cancel-attempt', ({requestId, attempt}) => {
			this.#front.findExchange(requestId)?.cancelAttempt(attempt);
		});
		driver.onEffect('answer-look-up', ({lookUpId, callers}) => {
			this.#lookUps.get(lookUpId)?.(callers);
			this.#lookUps.delete(lookUpId);
		});
		driver.onEffect('send-digest', ({to, digest}) => {
			this.#peers.sendDigest(to, digest);
		});
		driver.onEffect('fetch-copy', ({address, port}) => {
			void this.#fetchCopy({address, port});
		});
		driver.onEffect('set-reading', ({isReading}) => {
			this.#options.onReading(isReading);
		});
		driver.onEffect('remove-host-entry', ({name}) => {
			this.#options.onHostGone(name);
		});
		driver.onEffect('count', ({name, labels}) => {
			this.#options.metrics.count({type: 'count', name, labels, by: 1});
		});
		driver.onEffect('observe', (effect) => {
			this.#options.metrics.observe(effect);
		});
		driver.onEffect('log', ({weight, message, fields}) => {
			this.#options.log.log(weight, message, fields);
		});
	}

	#addGauges(): void {
		const {metrics, log} = this.#options;
		metrics.addGauge('requests_open', () => this.#front.size);
		metrics.addGauge('server_connections_open', () => this.#connections.size);
		metrics.addGauge(
			'server_connections_opened',
			() => this.#connections.opened,
		);
		metrics.addGauge('log_lines_dropped', () => log.dropped);
		metrics.addGauge('configuration_version', () => this.#view.version);
		metrics.addGauge(
			'configuration_age_ms',
			() => this.#view.configurationAge ?? -1,
		);
		metrics.addGauge('servers_known', () => this.#view.serverCount);
	}
}

async function wait(span: Milliseconds): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, span);
	});
}

/**
 * One host, not yet started.
 *
 * @example
 * const host = createEntryHost(options);
 * await host.start();
 */
export function createEntryHost(options: EntryHostOptions): EntryHost {
	return new EntryHost(options);
}
