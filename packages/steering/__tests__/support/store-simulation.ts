import {createManualClock, type Milliseconds} from '@parsleyvale/shared';
import {
	createSteering,
	comparePositions,
	type BackendServer,
	type StorePosition,
	type SteeringConfiguration,
	type SteeringEffect,
	type SteeringEvent,
	type SteeringEventOf,
	type SteeringHost,
	type SteeringKernel,
} from '../../src/index.js';
import {createRandom} from './random.js';

/** A time in which the store does not answer some hosts. */
export type Outage = {
	readonly from: Milliseconds;
	readonly duration: Milliseconds;
	/** Indices of the hosts; undefined: all, and the entries of servers expire. */
	readonly hosts: readonly number[] | undefined;
	/** The store returns from a copy that is this much older than the outage; undefined: it loses nothing. */
	readonly copyAge?: Milliseconds | undefined;
};

export type StoreSimulationOptions = {
	readonly hosts: readonly SteeringHost[];
	readonly configuration: SteeringConfiguration;
	readonly servers: readonly BackendServer[];
	readonly outages: readonly Outage[];
	readonly seed: number;
};

type StoreState = {
	readonly at: Milliseconds;
	readonly revision: number;
	readonly servers: ReadonlyMap<string, BackendServer>;
};

type FleetList = SteeringEventOf<'fleet-listed'>;

export type ReadingHost = {
	readonly kernel: SteeringKernel;
	readonly index: number;
	isReading: boolean;
	/** Position of the last list read from the store; undefined: list again. */
	readPosition: StorePosition | undefined;
	lastList: FleetList | undefined;
	nextReadAt: Milliseconds;
};

const tickInterval: Milliseconds = 50;
const storeRoundTrip: Milliseconds = 30;
const minimumPoll: Milliseconds = 1500;
const batchingDelay: Milliseconds = 250;
/** How long a call hangs before the host gives it up. */
const callTimeout: Milliseconds = 900;
const maximumBackoff: Milliseconds = 600;
const maximumDelay: Milliseconds = 40;
const lossRate = 0.02;
/** When servers whose entries expired in an outage are registered again. */
const reregistrationDelay: Milliseconds = 2000;

/**
 * Simulates the store, its outages, and the messages between hosts on a virtual
 * clock; hosts run the real kernel. Only those that read get lists from the store.
 */
export class StoreSimulation {
	readonly clock = createManualClock(0);
	readonly hosts: ReadingHost[];
	readonly #options: StoreSimulationOptions;
	readonly #random: () => number;
	readonly #servers = new Map<string, BackendServer>();
	readonly #expired = new Set<string>();
	/** What the servers wrote last, whether the store still has it or not. */
	readonly #written = new Map<string, BackendServer>();
	readonly #history: StoreState[] = [];
	#era = 1;
	#revision = 1;
	#requests = 0;
	#pending: Array<{readonly at: Milliseconds; readonly action: () => void}> =
		[];

	constructor(options: StoreSimulationOptions) {
		this.#options = options;
		this.#random = createRandom(options.seed);
		for (const server of options.servers) {
			this.#servers.set(server.id, server);
			this.#written.set(server.id, server);
		}

		this.#recordState();
		this.hosts = options.hosts.map((self, index) => ({
			kernel: createSteering({
				self,
				regions: new Map(
					options.hosts.map(({failureDomain, region}) => [
						failureDomain,
						region,
					]),
				),
				isFirstStart: true,
				maximumWithdrawalDelay: 5000,
				retryRatio: 0.2,
				retryAllowance: 60,
				retryWindowDuration: 10_000,
				rateTolerance: {windowDuration: 5000, fraction: 0.1, requests: 20},
				stopTimeout: 6000,
				isLoadControlRequired: false,
				random: this.#random,
			}),
			index,
			isReading: true,
			readPosition: undefined,
			lastList: undefined,
			nextReadAt: Math.round(this.#random() * 300),
		}));
		for (const outage of options.outages) {
			this.#scheduleExpiry(outage);
			this.#scheduleReturn(outage);
		}

		for (const {kernel} of this.hosts) {
			this.#handle(kernel, {type: 'hosts-listed', hosts: options.hosts});
		}
	}

	schedule(at: Milliseconds, action: () => void): void {
		this.#pending.push({at, action});
	}

	/** Changes the entry of a server, or removes it for good. */
	change(id: string, server: BackendServer | undefined): void {
		this.#expired.delete(id);
		if (server === undefined) {
			this.#written.delete(id);
		} else {
			this.#written.set(id, server);
		}

		this.#write(id, server);
	}

	/** Changes another object of the store, which raises its revision. */
	changeOther(): void {
		this.#revision += 1;
		this.#recordState();
	}

	/** Whether an outage affects the host, or one has ended less than `margin` before. */
	isAffected(
		{index}: ReadingHost,
		at: Milliseconds,
		margin: Milliseconds,
	): boolean {
		return this.#options.outages.some(
			({from, duration, hosts}) =>
				(hosts === undefined || hosts.includes(index)) &&
				at >= from &&
				at < from + duration + margin,
		);
	}

	runUntil(end: Milliseconds): void {
		while (this.clock.now() < end) {
			this.clock.advance(10);
			const now = this.clock.now();
			const due = this.#pending
				.filter(({at}) => at <= now)
				.sort((a, b) => a.at - b.at);
			this.#pending = this.#pending.filter(({at}) => at > now);
			for (const {action} of due) {
				action();
			}

			for (const host of this.hosts) {
				this.#readWhenDue(host);
				if ((now + host.index * 10) % tickInterval === 0) {
					this.#handle(host.kernel, {type: 'tick'});
				}
			}
		}
	}

	/** Sends a request to the host and returns the server that it is forwarded to. */
	findTarget({kernel}: ReadingHost, path: string): string | undefined {
		const requestId = `request-${++this.#requests}`;
		const effects = kernel.handle(
			{
				type: 'request-arrived',
				requestId,
				callerId: undefined,
				hostName: 'example',
				path,
				keyHash: 'key',
				affinity: undefined,
				bodyBytes: 0,
				isBodyBuffered: true,
				fingerprint: path,
				arrivedAt: this.clock.now(),
				timeLeft: 1000,
			},
			this.clock.now(),
		);
		const forward = effects.find((effect) => effect.type === 'forward');
		if (forward !== undefined) {
			this.#handle(kernel, {
				type: 'attempt-ended',
				requestId,
				attempt: forward.attempt,
				outcome: 'answered',
				status: 200,
				isAnswerBuffered: true,
				isReplayable: true,
				load: undefined,
				rateLimit: undefined,
				connectTime: undefined,
				responseBytes: 0,
				wasConnectionLost: false,
			});
		}

		return forward?.server.id;
	}

	#write(id: string, server: BackendServer | undefined): void {
		this.#revision += 1;
		if (server === undefined) {
			this.#servers.delete(id);
		} else {
			this.#servers.set(id, server);
		}

		this.#recordState();
	}

	#recordState(): void {
		this.#history.push({
			at: this.clock.now(),
			revision: this.#revision,
			servers: new Map(this.#servers),
		});
	}

	#scheduleExpiry({from, duration, hosts}: Outage): void {
		if (hosts !== undefined || duration < 3000) {
			return;
		}

		const removed: BackendServer[] = [];
		this.schedule(from + duration - 10, () => {
			for (const server of this.#servers.values()) {
				removed.push(server);
				this.#write(server.id, undefined);
				this.#expired.add(server.id);
			}
		});
		this.schedule(
			from + duration + Math.round(this.#random() * reregistrationDelay),
			() => {
				for (const server of removed) {
					if (this.#expired.has(server.id)) {
						this.#write(server.id, server);
						this.#expired.delete(server.id);
					}
				}
			},
		);
	}

	/** At the end of the outage, the store has an older state, until the servers have written again. */
	#scheduleReturn({from, duration, hosts, copyAge}: Outage): void {
		if (hosts !== undefined || copyAge === undefined) {
			return;
		}

		this.schedule(from + duration, () => {
			const copy = this.#history.findLast(({at}) => at <= from - copyAge)!;
			this.#era += 1;
			this.#revision = copy.revision;
			this.#servers.clear();
			for (const [id, server] of copy.servers) {
				this.#servers.set(id, server);
			}

			this.#recordState();
		});
		const writtenAgainAt =
			from + duration + Math.round(this.#random() * reregistrationDelay);
		this.schedule(writtenAgainAt, () => {
			for (const id of new Set([
				...this.#servers.keys(),
				...this.#written.keys(),
			])) {
				if (this.#servers.get(id) !== this.#written.get(id)) {
					this.#write(id, this.#written.get(id));
				}
			}
		});
	}

	#readWhenDue(host: ReadingHost): void {
		const now = this.clock.now();
		const hasNews =
			host.readPosition === undefined ||
			comparePositions(host.readPosition, this.#position) !== 0;
		const isDue = hasNews
			? now >= host.nextReadAt - minimumPoll + batchingDelay
			: now >= host.nextReadAt;
		if (!host.isReading || !isDue) {
			return;
		}

		const {kernel} = host;
		if (this.isAffected(host, now, 0)) {
			host.nextReadAt = now + callTimeout + this.#random() * maximumBackoff;
			host.nextReadAt += minimumPoll - batchingDelay;
			this.#handle(kernel, {type: 'store-failed', reason: 'timeout'});
			return;
		}

		host.nextReadAt = now + minimumPoll * (1 + this.#random());
		const list = this.#createList();
		host.readPosition = this.#position;
		this.schedule(now + storeRoundTrip, () => {
			this.#deliver(host, list, hasNews);
		});
	}

	#deliver(host: ReadingHost, list: FleetList, hasNews: boolean): void {
		if (!host.isReading) {
			return;
		}

		const {configuration} = this.#options;
		const {kernel} = host;
		this.#handle(kernel, {type: 'store-answered', heldDuration: 0});
		this.#handle(kernel, {
			type: 'configuration-read',
			configuration,
			confirmationAge: storeRoundTrip,
		});
		if (hasNews) {
			host.lastList = list;
			this.#handle(kernel, list);
		}
	}

	get #position(): StorePosition {
		return {era: this.#era, revision: this.#revision};
	}

	#createList(): FleetList {
		return {
			type: 'fleet-listed',
			position: this.#position,
			servers: [...this.#servers.values()],
			evacuationsPosition: {era: 1, revision: 1},
			evacuated: [],
		};
	}

	#handle(kernel: SteeringKernel, event: SteeringEvent): void {
		for (const effect of kernel.handle(event, this.clock.now())) {
			this.#apply(kernel, effect);
		}
	}

	#apply(kernel: SteeringKernel, effect: SteeringEffect): void {
		const host = this.hosts.find((other) => other.kernel === kernel)!;
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- Other effects do not reach the store or other hosts.
		switch (effect.type) {
			case 'set-reading': {
				if (effect.isReading && !host.isReading) {
					host.readPosition = undefined;
					host.nextReadAt = this.clock.now();
				}

				host.isReading = effect.isReading;
				break;
			}

			case 'fetch-copy': {
				this.#fetchCopy(host, effect.name);
				break;
			}

			case 'send-digest': {
				for (const {peerAddress} of effect.to) {
					this.#sendDigest(peerAddress, effect.digest);
				}

				break;
			}

			default: {
				break;
			}
		}
	}

	#sendDigest(
		receiver: string,
		digest: SteeringEventOf<'digest-received'>['digest'],
	): void {
		const to = this.hosts.find(
			({index}) => this.#options.hosts[index]!.peerAddress === receiver,
		);
		if (to !== undefined && this.#random() >= lossRate) {
			const delay = this.#random() * maximumDelay;
			this.schedule(this.clock.now() + delay, () => {
				this.#handle(to.kernel, {type: 'digest-received', digest});
			});
		}
	}

	#fetchCopy(host: ReadingHost, sourceName: string): void {
		const source = this.hosts.find(
			({kernel}) => kernel.self.name === sourceName,
		);
		const list = source?.lastList;
		if (list !== undefined) {
			this.schedule(this.clock.now() + 2 * maximumDelay, () => {
				host.lastList = list;
				this.#handle(host.kernel, list);
			});
		}
	}
}
