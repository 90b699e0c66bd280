import {createManualClock, type Milliseconds} from '@parsleyvale/shared';
import {
	createSteering,
	type BackendServer,
	type ReportedLoad,
	type SteeringConfiguration,
	type SteeringEffect,
	type SteeringEvent,
	type SteeringHost,
	type SteeringKernel,
	type SteeringOutcome,
} from '../../src/index.js';
import type {ServerChoice} from '../../src/placement/server-choice.js';
import {
	computeUnevenness,
	type Unevenness,
} from '../../src/servers/pool-unevenness.js';
import {createRandom} from './random.js';
import {
	crashDuration,
	SimulatedServer,
	type SimulatedWork,
	type WorkEnd,
} from './simulated-server.js';

export type SimulationOptions = {
	readonly regions: readonly string[];
	readonly hostsPerRegion: number;
	readonly configuration: SteeringConfiguration;
	/** Hosts of each region that callers use; undefined: all of them. */
	readonly usedHostsPerRegion?: number;
	/** Servers of each region, in the order of the regions. */
	readonly serversPerRegion: readonly number[];
	readonly slots: number;
	/** One-way delay between regions. */
	readonly delayBetweenRegions: Milliseconds;
	readonly service: string;
	/** Length of each response. */
	readonly responseBytes?: number;
	readonly cachedTimeFraction?: number;
	/** Processing time of uncached objects by route; undefined: a multiple of the latency objective. */
	readonly uncachedTimes?: Readonly<Record<string, Milliseconds>>;
	/** Fraction of the requests that take seven times as long. */
	readonly tailFraction?: number;
	/** Objects that a server caches. */
	readonly cacheSize?: number;
	/** Requests of this path crash each server that runs them. */
	readonly deadlyPath?: string;
	readonly isFirstStart?: boolean;
	readonly isLoadControlRequired?: boolean;
	/** When hosts are told of each other; 0: before they start. */
	readonly hostsListedAt?: Milliseconds;
	/** Fraction of the messages between hosts that are lost. */
	readonly lossRate?: number;
	/** Whether all messages from the one host to the other are lost. */
	readonly isSeparated?: (from: SteeringHost, to: SteeringHost) => boolean;
	/** Changes the load that servers state; undefined: they state none. */
	readonly changeStatedLoad?: (load: ReportedLoad) => ReportedLoad | undefined;
	/** Interval at which digests of a host contain its load for each receiver; 0: as the host sends it; infinity: never. */
	readonly loadReportInterval?: Milliseconds;
	/** Delay of messages between hosts in addition to that of the network. */
	readonly messageDelay?: Milliseconds;
	readonly createServerChoice?: (
		random: () => number,
		hostName: string,
	) => ServerChoice;
	readonly seed: number;
};

/** The result of one request. */
export type Outcome = {
	readonly id: string;
	readonly path: string;
	readonly affinity: string;
	readonly customer: string;
	readonly region: string;
	readonly sentAt: Milliseconds;
	endedAt: Milliseconds | undefined;
	/** 'answered', or the error kind of the refusal. */
	result: string | undefined;
	status: number | undefined;
	retryAfter: Milliseconds | undefined;
	/** Number of times that a server ran it. */
	runs: number;
	servers: string[];
	/** Regions of the servers that it was sent to. */
	serverRegions: string[];
	/** Called when it has its result. */
	onEnded?: () => void;
};

/** A request that reached a server, and the incarnation of the host that sent it. */
export type Arrival = {
	readonly server: string;
	readonly incarnation: string;
	readonly at: Milliseconds;
	readonly path: string;
};

export type SimulatedHost = {
	readonly host: SteeringHost;
	readonly kernel: SteeringKernel;
	isUp: boolean;
	isPartitioned: boolean;
	/** Whether messages of other hosts are lost, but not calls to the store. */
	isCutOff: boolean;
};

const tickInterval: Milliseconds = 50;
/** Lists of servers after a crash have higher revisions than those that tests announce. */
const firstCrashRevision = 1000;
const delayWithinRegion: Milliseconds = 2;

/** Simulates servers, callers and the network on a virtual clock; hosts run the real kernel. */
export class FleetSimulation {
	/** Messages sent between hosts so far, counted for each receiver. */
	messagesSent = 0;
	/** Bytes of these messages, and of those to another region. */
	bytesSent = 0;
	bytesBetweenRegions = 0;
	readonly clock = createManualClock(0);
	readonly outcomes = new Map<string, Outcome>();
	readonly hosts: SimulatedHost[] = [];
	readonly servers = new Map<string, SimulatedServer>();
	/** Requests that reached servers, in the order of their arrival. */
	readonly arrivals: Arrival[] = [];
	/** When servers crashed. */
	readonly crashes: Milliseconds[] = [];
	/** When each host first got a response that states a rate limit, by host and server. */
	readonly limitsReceivedAt = new Map<string, Milliseconds>();
	readonly registeredServers: BackendServer[] = [];
	readonly random: () => number;
	readonly #options: SimulationOptions;
	readonly #events: Array<{
		readonly at: Milliseconds;
		readonly action: () => void;
	}> = [];

	readonly #attempts = new Map<
		string,
		{work: SimulatedWork; server: SimulatedServer}
	>();

	readonly #loadReportedAt = new Map<string, Milliseconds>();
	readonly #hostsByName = new Map<string, SimulatedHost>();
	readonly #endedKernels = new Set<SteeringKernel>();
	#requests = 0;
	#restarts = 0;

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.random = createRandom(options.seed);
		this.#createServers();
		for (const region of options.regions) {
			for (let index = 0; index < options.hostsPerRegion; index++) {
				this.#createHost(region, `${region}-${index}`);
			}
		}

		this.announceServers();
		this.confirmConfiguration();
		const {hostsListedAt = 0} = options;
		if (hostsListedAt === 0) {
			this.announceHosts();
		} else {
			this.schedule(hostsListedAt, () => {
				this.announceHosts();
			});
		}
	}

	/** Sends the list of hosts to all hosts, as the store does. */
	announceHosts(): void {
		const hosts = this.hosts.map(({host}) => host);
		for (const {kernel} of this.hosts) {
			this.handle(kernel, {type: 'hosts-listed', hosts});
		}
	}

	/** Adds a server, which hosts learn of with the next `announceServers`. */
	addServer(
		server: BackendServer,
		onArrival: (at: Milliseconds) => void,
	): void {
		this.registeredServers.push(server);
		const simulated = new SimulatedServer({
			server,
			queueLimit: server.slots * 3,
			cacheSize: this.#options.cacheSize ?? 24,
			schedule: this.schedule.bind(this),
			random: this.random,
			onArrival,
			onCrash: (at) => {
				this.#onCrash(server.id, at);
			},
		});
		this.servers.set(server.id, simulated);
	}

	/** Ends a host without notice, and starts it as a new incarnation after a time. */
	restartHost(entry: SimulatedHost, downtime: Milliseconds): void {
		entry.isUp = false;
		this.#endedKernels.add(entry.kernel);
		this.hosts.splice(this.hosts.indexOf(entry), 1);
		this.schedule(this.clock.now() + downtime, () => {
			this.#restarts += 1;
			const {region, name} = entry.host;
			this.#createHost(region, name, {
				incarnation: `${name}/${this.#restarts + 1}`,
				isFirstStart: false,
			});
			this.announceHosts();
			this.announceServers();
			this.confirmConfiguration();
		});
	}

	/** Sends the list of servers to all hosts, as the store does. */
	announceServers(revision = 1): void {
		const position = {era: 1, revision};
		for (const {kernel} of this.hosts) {
			this.handle(kernel, {
				type: 'fleet-listed',
				position,
				servers: this.registeredServers,
				evacuationsPosition: position,
				evacuated: [],
			});
		}
	}

	/** Confirms the configuration to all hosts that reach the store. */
	confirmConfiguration(): void {
		const {configuration} = this.#options;
		for (const {kernel, isPartitioned} of this.hosts) {
			if (!isPartitioned) {
				this.handle(kernel, {
					type: 'configuration-read',
					configuration,
					confirmationAge: 0,
				});
				this.handle(kernel, {type: 'store-answered', heldDuration: 0});
			}
		}
	}

	schedule(at: Milliseconds, action: () => void): void {
		// Events are sorted in descending order, so that the next one is cheap to remove.
		let low = 0;
		let high = this.#events.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#events[middle]!.at > at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#events.splice(low, 0, {at, action});
	}

	/** Runs all events up to the given time. */
	runUntil(end: Milliseconds): void {
		for (;;) {
			const next = this.#events.at(-1);
			if (next === undefined || next.at > end) {
				break;
			}

			this.#events.pop();
			this.clock.advance(Math.max(0, next.at - this.clock.now()));
			next.action();
		}

		this.clock.advance(Math.max(0, end - this.clock.now()));
	}

	/** Returns the true unevenness of the servers at this moment. */
	measureUnevenness(): Unevenness | undefined {
		return computeUnevenness(
			this.registeredServers.map(({id, region, slots}) => {
				const {load, slowness} = this.servers.get(id)!;
				return {region, slots, slowness, load: load.running + load.waiting};
			}),
		);
	}

	/** Sends a caller's request to the given host, or to a random one of its region. */
	send(request: {
		readonly region: string;
		readonly path: string;
		readonly key: string;
		readonly affinity: string;
		readonly timeLeft?: Milliseconds;
		readonly bodyBytes?: number;
		readonly host?: SimulatedHost;
	}): Outcome {
		const inRegion = this.hosts.filter(
			({host, isUp}) => isUp && host.region === request.region,
		);
		const used = inRegion.slice(0, this.#options.usedHostsPerRegion);
		const host = request.host ?? used[Math.floor(this.random() * used.length)]!;
		const id = `request-${++this.#requests}`;
		const outcome: Outcome = {
			id,
			path: request.path,
			affinity: request.affinity,
			customer: request.key,
			region: request.region,
			sentAt: this.clock.now(),
			endedAt: undefined,
			result: undefined,
			status: undefined,
			retryAfter: undefined,
			runs: 0,
			servers: [],
			serverRegions: [],
		};
		this.outcomes.set(id, outcome);
		this.handle(host.kernel, {
			type: 'request-arrived',
			requestId: id,
			callerId: undefined,
			hostName: 'example',
			path: request.path,
			keyHash: request.key,
			affinity: request.affinity,
			bodyBytes: request.bodyBytes ?? 0,
			isBodyBuffered: true,
			fingerprint: `${request.path}/${request.affinity}`,
			arrivedAt: this.clock.now(),
			timeLeft: request.timeLeft ?? 4000,
		});
		return outcome;
	}

	handle(kernel: SteeringKernel, event: SteeringEvent): void {
		if (this.#endedKernels.has(kernel)) {
			return;
		}

		for (const effect of kernel.handle(event, this.clock.now())) {
			this.#apply(kernel, effect);
		}
	}

	/** A crashed server registers again as a new incarnation. */
	#onCrash(id: string, at: Milliseconds): void {
		this.crashes.push(at);
		const revision = firstCrashRevision + this.crashes.length;
		this.schedule(at + crashDuration, () => {
			const index = this.registeredServers.findIndex(
				(server) => server.id === id,
			);
			const server = this.registeredServers[index]!;
			const incarnation = String(Number(server.incarnation) + 1);
			this.registeredServers[index] = {...server, incarnation};
			this.announceServers(revision);
		});
	}

	#apply(kernel: SteeringKernel, effect: SteeringEffect): void {
		const now = this.clock.now();
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- Logs and metrics have no effect here.
		switch (effect.type) {
			case 'forward': {
				this.#forward(kernel, effect);
				break;
			}

			case 'deliver': {
				this.#recordResult(effect.requestId, 'answered', undefined);
				break;
			}

			case 'refuse': {
				this.#recordResult(effect.requestId, effect.kind, effect.retryAfter);
				break;
			}

			case 'cancel-attempt': {
				const entry = this.#attempts.get(
					`${effect.requestId}/${effect.attempt}`,
				);
				entry?.server.cancel(entry.work, now);
				break;
			}

			case 'send-digest': {
				const bytes = JSON.stringify(effect.digest).length;
				const from = this.#hostsByName.get(kernel.self.name);
				for (const {peerAddress} of effect.to) {
					const to = this.#hostsByName.get(peerAddress);
					const isSameRegion = to?.host.region === kernel.self.region;
					this.messagesSent += 1;
					this.bytesSent += bytes;
					this.bytesBetweenRegions += isSameRegion ? 0 : bytes;
					const delay =
						this.#getDelay(to?.host.region ?? '', kernel.self.region) +
						(this.#options.messageDelay ?? 0);
					const isLost =
						(this.#options.lossRate !== undefined &&
							this.random() < this.#options.lossRate) ||
						(to !== undefined &&
							this.#options.isSeparated?.(from!.host, to.host) === true);
					const digest = this.#isLoadReported(effect.digest.name, peerAddress)
						? effect.digest
						: {...effect.digest, inFlight: undefined};
					this.schedule(now + delay, () => {
						if (
							!isLost &&
							to?.isUp &&
							!to.isPartitioned &&
							!to.isCutOff &&
							from?.isUp &&
							!from.isPartitioned &&
							!from.isCutOff
						) {
							this.handle(to.kernel, {
								type: 'digest-received',
								digest,
							});
						}
					});
				}

				break;
			}

			default: {
				break;
			}
		}
	}

	#forward(
		kernel: SteeringKernel,
		effect: Extract<SteeringEffect, {type: 'forward'}>,
	): void {
		const {requestId, attempt, server, deadline} = effect;
		const outcome = this.outcomes.get(requestId)!;
		outcome.servers.push(server.id);
		outcome.serverRegions.push(server.region);
		const delay = this.#getDelay(server.region, kernel.self.region);
		const simulated = this.servers.get(server.id)!;
		const work = this.#createWork(outcome, deadline, (end, at) => {
			const isRun = end === 'lost' || typeof end === 'number';
			outcome.runs += isRun ? 1 : 0;
			const {changeStatedLoad = (load: ReportedLoad) => load} = this.#options;
			const load = changeStatedLoad(simulated.load);
			this.schedule(at + delay, () => {
				if (work.isCancelled && end !== 'lost') {
					return;
				}

				this.#recordLimit(kernel, simulated, server.id);
				outcome.status = typeof end === 'number' ? end : 503;
				this.handle(kernel, {
					type: 'attempt-ended',
					requestId,
					attempt,
					outcome: toOutcome(end),
					status: outcome.status,
					isAnswerBuffered: true,
					isReplayable: true,
					load,
					rateLimit: {requestsPerSecond: simulated.rateLimit},
					connectTime: delay * 2,
					responseBytes: this.#options.responseBytes ?? 0,
					wasConnectionLost: end === 'lost',
				});
			});
		});
		this.#attempts.set(`${requestId}/${attempt}`, {work, server: simulated});
		this.schedule(this.clock.now() + delay, () => {
			if (!work.isCancelled) {
				const at = this.clock.now();
				const {incarnation} = kernel.self;
				const {path} = outcome;
				this.arrivals.push({server: server.id, incarnation, at, path});
				simulated.receive(work, at);
			}
		});
	}

	#isLoadReported(from: string, to: string): boolean {
		const {loadReportInterval = 0} = this.#options;
		const key = `${from} ${to}`;
		const now = this.clock.now();
		const reportedAt = this.#loadReportedAt.get(key) ?? 0;
		const isDue = now - reportedAt >= loadReportInterval;
		if (isDue) {
			this.#loadReportedAt.set(key, now);
		}

		return isDue;
	}

	#createWork(
		{path, affinity}: Outcome,
		deadline: Milliseconds,
		onEnd: SimulatedWork['onEnd'],
	): SimulatedWork {
		const {
			configuration,
			cachedTimeFraction = 0.3,
			tailFraction = 0,
		} = this.#options;
		const route = configuration.routes.find(({pathPrefix}) =>
			path.startsWith(pathPrefix),
		)!;
		const spread = 0.85 + 0.3 * this.random();
		const meanTime =
			this.#options.uncachedTimes?.[route.name] ??
			route.latencyObjectiveMs * 1.45;
		const isInTail = tailFraction > 0 && this.random() < tailFraction;
		const uncachedTime = meanTime * spread * (isInTail ? 7 : 1);
		return {
			objectKey: `${route.name}/${affinity}`,
			cachedTime: uncachedTime * cachedTimeFraction,
			uncachedTime,
			deadline,
			isDeadly: path === this.#options.deadlyPath,
			onEnd,
			isCancelled: false,
		};
	}

	#recordLimit(
		{self}: SteeringKernel,
		{rateLimit}: SimulatedServer,
		serverId: string,
	): void {
		const key = `${self.incarnation} ${serverId}`;
		if (rateLimit !== undefined && !this.limitsReceivedAt.has(key)) {
			this.limitsReceivedAt.set(key, this.clock.now());
		}
	}

	#getDelay(from: string, to: string): Milliseconds {
		return from === to ? delayWithinRegion : this.#options.delayBetweenRegions;
	}

	#recordResult(
		id: string,
		result: string,
		retryAfter: Milliseconds | undefined,
	): void {
		const outcome = this.outcomes.get(id)!;
		outcome.endedAt = this.clock.now();
		outcome.result = result;
		outcome.retryAfter = retryAfter;
		outcome.onEnded?.();
	}

	#createServers(): void {
		const {regions, serversPerRegion, slots, service} = this.#options;
		for (const [index, region] of regions.entries()) {
			for (let count = 0; count < serversPerRegion[index]!; count++) {
				const server: BackendServer = {
					id: `server-${region}-${count}`,
					service,
					address: '127.0.0.1',
					port: 1,
					failureDomain: `${region}-a`,
					region,
					slots,
					isDraining: false,
					coldRemainingMs: 0,
					incarnation: '1',
				};
				this.addServer(server, () => undefined);
			}
		}
	}

	#createHost(
		region: string,
		name: string,
		{
			incarnation = `${name}/1`,
			isFirstStart = this.#options.isFirstStart ?? true,
		} = {},
	): void {
		const host: SteeringHost = {
			name,
			incarnation,
			region,
			failureDomain: `${region}-a`,
			callers: '127.0.0.1:1',
			capacity: 1,
			peerAddress: name,
			peerPort: 1,
		};
		const kernel = createSteering({
			self: host,
			regions: new Map([[`${region}-a`, region]]),
			isFirstStart,
			maximumWithdrawalDelay: 5000,
			retryRatio: 0.2,
			retryAllowance: 60,
			retryWindowDuration: 10_000,
			rateTolerance: {windowDuration: 5000, fraction: 0.1, requests: 20},
			stopTimeout: 6000,
			isLoadControlRequired: this.#options.isLoadControlRequired ?? false,
			serverChoice: this.#options.createServerChoice?.(this.random, name),
			random: this.random,
		});
		const entry: SimulatedHost = {
			host,
			kernel,
			isUp: true,
			isPartitioned: false,
			isCutOff: false,
		};
		this.hosts.push(entry);
		this.#hostsByName.set(name, entry);
		this.#scheduleTick(entry, this.random() * tickInterval);
	}

	#scheduleTick(entry: SimulatedHost, at: Milliseconds): void {
		this.schedule(at, () => {
			if (entry.isUp) {
				this.handle(entry.kernel, {type: 'tick'});
			}

			this.#scheduleTick(entry, at + tickInterval);
		});
	}
}

function toOutcome(end: WorkEnd): SteeringOutcome {
	switch (end) {
		case 'not-run': {
			return 'not-run';
		}

		case 'lost': {
			return 'unknown';
		}

		case 'unreachable': {
			return 'not-sent';
		}

		default: {
			return 'answered';
		}
	}
}

/** Requests of one kind that arrive at a constant average rate from all regions. */
export type RequestStream = {
	readonly path: string;
	readonly key: string;
	readonly perSecond: number;
	/** Number of objects requested in each region. */
	readonly objects: number;
	readonly timeLeft: Milliseconds;
	readonly bodyBytes?: number;
};

export type StreamPeriod = {
	readonly from: Milliseconds;
	readonly to: Milliseconds;
	/** Whether all regions request the same objects. */
	readonly isShared?: boolean;
};

/** Schedules requests at random times within the period; the same seed gives the same requests. */
export function sendRequests(
	simulation: FleetSimulation,
	regions: readonly string[],
	streams: readonly RequestStream[],
	{from, to, isShared = false}: StreamPeriod,
): void {
	for (const stream of streams) {
		const {perSecond, objects, ...rest} = stream;
		let at = from;
		for (;;) {
			at += (-Math.log(1 - simulation.random()) * 1000) / perSecond;
			if (at >= to) {
				break;
			}

			const region = regions[Math.floor(simulation.random() * regions.length)]!;
			const owner = isShared ? 'all' : region;
			const affinity = `${owner}/${Math.floor(simulation.random() * objects)}`;
			simulation.schedule(at, () => {
				simulation.send({...rest, region, affinity});
			});
		}
	}
}
