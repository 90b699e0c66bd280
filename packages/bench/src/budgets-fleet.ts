import {createBudgets} from '@parsleyvale/budgets';
import {
	budgetsKey,
	createKernel,
	toCustomerBudgetId,
	type Budgets,
	type BudgetSpec,
	type Effect,
	type Kernel,
	type KernelEvent,
	type StoredObject,
} from '@parsleyvale/kernel';
import type {Configuration, EntryHost, Milliseconds} from '@parsleyvale/shared';
import {RandomSource} from './budgets-random.js';
import type {Site} from './budgets-sites.js';

const tickInterval: Milliseconds = 50;
const retryInterval: Milliseconds = 5;
const loanRequestInterval: Milliseconds = 100;
/** How long a request waits for a loan from a peer. */
export const maxWait: Milliseconds = 250;
/** Processing time of the store, without network delay. */
const storeProcessingTime: Milliseconds = 3;

export type Customer = {
	readonly name: string;
	readonly ratePerSecond: number;
	readonly burst: number;
};

export type FleetHost = {
	readonly self: EntryHost;
	readonly kernel: Kernel;
	readonly budgets: Budgets;
	readonly waitingRequests: Map<string, WaitingRequest[]>;
	isAlive: boolean;
};

type WaitingRequest = {
	readonly deadline: Milliseconds;
	readonly onResult: (isTaken: boolean) => void;
};

export type FleetOptions = {
	readonly site: Site;
	readonly customers: readonly Customer[];
	readonly specs?: readonly BudgetSpec[];
	readonly seed: number;
	readonly isLending: boolean;
	readonly hostCount?: number;
};

/** Hosts with the real kernel and a simulated network and store. */
export class Fleet {
	now: Milliseconds = 0;
	isStoreUp = true;
	hosts: FleetHost[] = [];
	readonly random: RandomSource;
	readonly counts = {messages: 0, bytes: 0, storeCalls: 0};
	/** Regions that can reach neither other regions nor a store outside them. */
	readonly partitionedRegions = new Set<string>();
	readonly #options: FleetOptions;
	readonly #timers = new Map<Milliseconds, Array<() => void>>();
	readonly #objects = new Map<string, StoredObject>();
	#incarnationCount = 0;
	#requestedAmount: number | undefined;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.random = new RandomSource(options.seed);
		const hostCount = options.hostCount ?? 10;
		for (let index = 0; index < hostCount; index++) {
			this.startHost(index);
		}
	}

	/** Starts a host, replacing any previous host with the same index. */
	startHost(index: number): FleetHost {
		const {site, isLending} = this.#options;
		this.#incarnationCount++;
		const region = site.regions[index % site.regions.length]!;
		const domainIndex = Math.floor(index / site.regions.length) % 2;
		const self: EntryHost = {
			name: `host-${index}`,
			incarnation: String(this.#incarnationCount),
			region,
			failureDomain: `${region}-${domainIndex}`,
			callers: {address: '127.0.0.1', port: 1},
			peers: {address: '127.0.0.1', port: 2},
			leaving: false,
		};
		const kernel = createKernel({self, random: () => this.random.next()});
		kernel.use(createBudgets({isLending}));
		const budgets = kernel.inject(budgetsKey);
		const host: FleetHost = {
			self,
			kernel,
			budgets,
			waitingRequests: new Map(),
			isAlive: true,
		};
		kernel.on('configuration-changed', (_event, context) => {
			for (const spec of this.#options.specs ?? []) {
				budgets.define(spec, context);
			}
		});
		kernel.on('budget-changed', ({budgetId}) => {
			this.#retry(host, budgetId);
		});
		kernel.on('room-changed', ({pool}, context) => {
			const waitingCount = host.waitingRequests.get(pool)?.length ?? 0;
			budgets.requestLoan(pool, this.#requestedAmount ?? waitingCount, context);
		});
		this.hosts[index] = host;
		this.#handle(host, this.#createConfiguration());
		this.#announceMembers();
		return host;
	}

	/** Schedules a callback after a delay, rounded to whole milliseconds. */
	schedule(delay: Milliseconds, callback: () => void): void {
		const at = Math.max(Math.round(this.now + delay), this.now + 1);
		const callbacks = this.#timers.get(at) ?? [];
		callbacks.push(callback);
		this.#timers.set(at, callbacks);
	}

	run(duration: Milliseconds): void {
		const end = this.now + duration;
		while (this.now < end) {
			this.now++;
			const callbacks = this.#timers.get(this.now) ?? [];
			this.#timers.delete(this.now);
			for (const callback of callbacks) {
				callback();
			}

			for (const [index, host] of this.hosts.entries()) {
				this.#runHost(index, host);
			}
		}
	}

	stopHost(host: FleetHost): void {
		this.#handle(host, {type: 'intake-closed'});
	}

	/** Takes one unit immediately or after waiting for it; `onResult` is called exactly once. */
	take(
		host: FleetHost,
		budgetId: string,
		onResult: (isTaken: boolean) => void,
	): void {
		if (!host.isAlive) {
			onResult(false);
			return;
		}

		const queue = host.waitingRequests.get(budgetId) ?? [];
		const isTaken =
			queue.length === 0 &&
			host.budgets.take(budgetId, 1, this.now) === 'taken';
		if (isTaken) {
			onResult(true);
			return;
		}

		queue.push({deadline: this.now + maxWait, onResult});
		host.waitingRequests.set(budgetId, queue);
		this.#requestedAmount = 1;
		this.#handle(host, {type: 'room-changed', pool: budgetId});
		this.#requestedAmount = undefined;
	}

	#runHost(index: number, host: FleetHost): void {
		if (!host.isAlive) {
			return;
		}

		if ((this.now + index) % tickInterval === 0) {
			this.#handle(host, {type: 'tick'});
		}

		if ((this.now + index) % retryInterval !== 0) {
			return;
		}

		for (const [budgetId, queue] of host.waitingRequests) {
			this.#retry(host, budgetId);
			const isLoanRequestDue = (this.now + index) % loanRequestInterval === 0;
			if (isLoanRequestDue && queue.length > 0) {
				this.#handle(host, {type: 'room-changed', pool: budgetId});
			}
		}
	}

	#retry(host: FleetHost, budgetId: string): void {
		const queue = host.waitingRequests.get(budgetId) ?? [];
		while (queue.length > 0) {
			const isExpired = queue[0]!.deadline <= this.now;
			const isTaken =
				!isExpired && host.budgets.take(budgetId, 1, this.now) === 'taken';
			if (!isExpired && !isTaken) {
				return;
			}

			queue.shift()!.onResult(isTaken);
		}
	}

	#handle(host: FleetHost, event: KernelEvent): void {
		for (const effect of host.kernel.handle(event, this.now)) {
			this.#perform(host, effect);
		}
	}

	#perform(host: FleetHost, effect: Effect): void {
		if (effect.type === 'send-peer') {
			this.#send(host, effect);
		} else if (
			effect.type === 'read-object' ||
			effect.type === 'write-object'
		) {
			this.#callStore(host, effect);
		}
	}

	#send(from: FleetHost, effect: Extract<Effect, {type: 'send-peer'}>): void {
		const to = this.hosts.find((host) => host.self.name === effect.to);
		if (to === undefined) {
			return;
		}

		this.counts.messages++;
		// Only the size of every hundredth message is measured and extrapolated.
		if (this.counts.messages % 100 === 0) {
			this.counts.bytes += 100 * JSON.stringify(effect.payload).length;
		}

		if (this.#isPartitioned(from.self.region, to.self.region)) {
			return;
		}

		const {name, incarnation} = from.self;
		const {topic, payload} = effect;
		const delay = this.#options.site.getDelay(from.self, to.self);
		this.schedule(delay * (1 + this.random.next() / 4), () => {
			if (to.isAlive) {
				const sender = {name, incarnation};
				this.#handle(to, {type: 'peer-message', from: sender, topic, payload});
			}
		});
	}

	#callStore(
		host: FleetHost,
		effect: Extract<Effect, {type: 'read-object' | 'write-object'}>,
	): void {
		const {site} = this.#options;
		this.counts.storeCalls++;
		const delay = site.getStoreDelay(host.self) + storeProcessingTime;
		const {operationId, name} = effect;
		this.schedule(delay, () => {
			const isReachable =
				this.isStoreUp &&
				!this.#isPartitioned(host.self.region, site.regions[0]!);
			const event: KernelEvent =
				effect.type === 'read-object'
					? {
							type: 'object-read',
							operationId,
							name,
							result: this.#read(name, isReachable),
						}
					: {
							type: 'object-written',
							operationId,
							name,
							result: isReachable ? this.#write(effect) : {kind: 'failed'},
						};
			this.schedule(delay, () => {
				if (host.isAlive) {
					this.#handle(host, event);
				}
			});
		});
	}

	#read(
		name: string,
		isReachable: boolean,
	): Extract<KernelEvent, {type: 'object-read'}>['result'] {
		const object = this.#objects.get(name);
		if (!isReachable) {
			return {kind: 'failed'};
		}

		return object === undefined ? {kind: 'missing'} : {kind: 'found', object};
	}

	#write(
		effect: Extract<Effect, {type: 'write-object'}>,
	): Extract<KernelEvent, {type: 'object-written'}>['result'] {
		const {name, expectedVersion, value} = effect;
		const version = this.#objects.get(name)?.version ?? 0;
		if (version !== expectedVersion) {
			return {kind: 'conflict'};
		}

		const object = {name, version: version + 1, value};
		this.#objects.set(name, object);
		for (const host of this.hosts) {
			this.schedule(this.#options.site.getStoreDelay(host.self), () => {
				const isPartitioned = this.#isPartitioned(
					host.self.region,
					this.#options.site.regions[0]!,
				);
				if (host.isAlive && this.isStoreUp && !isPartitioned) {
					this.#handle(host, {type: 'object-changed', object});
				}
			});
		}

		return {kind: 'written', version: version + 1};
	}

	#isPartitioned(region: string, otherRegion: string): boolean {
		const hasPartitionedRegion =
			this.partitionedRegions.has(region) ||
			this.partitionedRegions.has(otherRegion);
		return region !== otherRegion && hasPartitionedRegion;
	}

	#announceMembers(): void {
		const members = this.hosts.map((host) => host.self);
		for (const host of this.hosts) {
			this.#handle(host, {type: 'members-changed', members});
		}
	}

	#createConfiguration(): KernelEvent {
		const configuration: Configuration = {
			regions: [],
			links: [],
			pools: [],
			customers: this.#options.customers.map((customer) => ({
				...customer,
				weight: 1,
			})),
			keys: [],
			routes: [],
			shifts: [],
			drains: [],
		};
		return {
			type: 'configuration-changed',
			current: {version: 1, operationId: 'bench', configuration},
		};
	}
}

/** Returns the id of the budget for a customer's requests. */
export function toBudgetId(customer: Customer): string {
	return toCustomerBudgetId(customer.name);
}
