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

const tickPeriod: Milliseconds = 50;
const retryPeriod: Milliseconds = 5;
const wantAgainPeriod: Milliseconds = 100;
/** How long a request waits for a peer to lend. */
export const longestWait: Milliseconds = 250;
/** What the store itself takes for an answer. */
const storeDelay: Milliseconds = 3;

export type Customer = {
	readonly name: string;
	readonly ratePerSecond: number;
	readonly burst: number;
};

export type FleetHost = {
	readonly self: EntryHost;
	readonly kernel: Kernel;
	readonly budgets: Budgets;
	readonly waiting: Map<string, WaitingRequest[]>;
	isAlive: boolean;
};

type WaitingRequest = {
	readonly deadline: Milliseconds;
	readonly onEnd: (isTaken: boolean) => void;
};

export type FleetOptions = {
	readonly site: Site;
	readonly customers: readonly Customer[];
	readonly specs?: readonly BudgetSpec[];
	readonly seed: number;
	readonly isLending: boolean;
	readonly size?: number;
};

/** Hosts with the real kernel, and fakes of the network and the store. */
export class Fleet {
	now: Milliseconds = 0;
	isStoreUp = true;
	hosts: FleetHost[] = [];
	readonly random: RandomSource;
	readonly counts = {messages: 0, bytes: 0, storeCalls: 0};
	/** Regions that cannot reach any other, nor the store. */
	readonly cutRegions = new Set<string>();
	readonly #options: FleetOptions;
	readonly #due = new Map<Milliseconds, Array<() => void>>();
	readonly #objects = new Map<string, StoredObject>();
	#incarnations = 0;
	#wantedAmount: number | undefined;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.random = new RandomSource(options.seed);
		const size = options.size ?? 10;
		for (let index = 0; index < size; index++) {
			this.start(index);
		}
	}

	/** Starts a host, in place of the one that had the index before. */
	start(index: number): FleetHost {
		const {site, isLending} = this.#options;
		this.#incarnations++;
		const region = site.regions[index % site.regions.length]!;
		const domain = Math.floor(index / site.regions.length) % 2;
		const self: EntryHost = {
			name: `host-${index}`,
			incarnation: String(this.#incarnations),
			region,
			failureDomain: `${region}-${domain}`,
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
			waiting: new Map(),
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
			const waiting = host.waiting.get(pool)?.length ?? 0;
			budgets.requestLoan(pool, this.#wantedAmount ?? waiting, context);
		});
		this.hosts[index] = host;
		this.#handle(host, this.#createConfiguration());
		this.#announceMembers();
		return host;
	}

	/** Calls back after a time, in whole milliseconds. */
	delay(span: Milliseconds, callback: () => void): void {
		const at = Math.max(Math.round(this.now + span), this.now + 1);
		const due = this.#due.get(at) ?? [];
		due.push(callback);
		this.#due.set(at, due);
	}

	run(span: Milliseconds): void {
		const end = this.now + span;
		while (this.now < end) {
			this.now++;
			const due = this.#due.get(this.now) ?? [];
			this.#due.delete(this.now);
			for (const callback of due) {
				callback();
			}

			for (const [index, host] of this.hosts.entries()) {
				this.#runHost(index, host);
			}
		}
	}

	stop(host: FleetHost): void {
		this.#handle(host, {type: 'intake-closed'});
	}

	/** Takes now or after a wait; tells once how it ended. */
	request(
		host: FleetHost,
		budgetId: string,
		onEnd: (isTaken: boolean) => void,
	): void {
		if (!host.isAlive) {
			onEnd(false);
			return;
		}

		const queue = host.waiting.get(budgetId) ?? [];
		const isTaken =
			queue.length === 0 &&
			host.budgets.take(budgetId, 1, this.now) === 'taken';
		if (isTaken) {
			onEnd(true);
			return;
		}

		queue.push({deadline: this.now + longestWait, onEnd});
		host.waiting.set(budgetId, queue);
		this.#wantedAmount = 1;
		this.#handle(host, {type: 'room-changed', pool: budgetId});
		this.#wantedAmount = undefined;
	}

	#runHost(index: number, host: FleetHost): void {
		if (!host.isAlive) {
			return;
		}

		if ((this.now + index) % tickPeriod === 0) {
			this.#handle(host, {type: 'tick'});
		}

		if ((this.now + index) % retryPeriod !== 0) {
			return;
		}

		for (const [budgetId, queue] of host.waiting) {
			this.#retry(host, budgetId);
			const isDue = (this.now + index) % wantAgainPeriod === 0;
			if (isDue && queue.length > 0) {
				this.#handle(host, {type: 'room-changed', pool: budgetId});
			}
		}
	}

	#retry(host: FleetHost, budgetId: string): void {
		const queue = host.waiting.get(budgetId) ?? [];
		while (queue.length > 0) {
			const isLate = queue[0]!.deadline <= this.now;
			const isTaken =
				!isLate && host.budgets.take(budgetId, 1, this.now) === 'taken';
			if (!isLate && !isTaken) {
				return;
			}

			queue.shift()!.onEnd(isTaken);
		}
	}

	#handle(host: FleetHost, event: KernelEvent): void {
		for (const effect of host.kernel.handle(event, this.now)) {
			this.#onEffect(host, effect);
		}
	}

	#onEffect(host: FleetHost, effect: Effect): void {
		if (effect.type === 'send-peer') {
			this.#send(host, effect);
		} else if (
			effect.type === 'read-object' ||
			effect.type === 'write-object'
		) {
			this.#call(host, effect);
		}
	}

	#send(from: FleetHost, effect: Extract<Effect, {type: 'send-peer'}>): void {
		const to = this.hosts.find((host) => host.self.name === effect.to);
		if (to === undefined) {
			return;
		}

		this.counts.messages++;
		// One message in a hundred is measured.
		if (this.counts.messages % 100 === 0) {
			this.counts.bytes += 100 * JSON.stringify(effect.payload).length;
		}

		if (this.#isCut(from.self.region, to.self.region)) {
			return;
		}

		const {name, incarnation} = from.self;
		const {topic, payload} = effect;
		const delay = this.#options.site.getDelay(from.self, to.self);
		this.delay(delay * (1 + this.random.next() / 4), () => {
			if (to.isAlive) {
				const sender = {name, incarnation};
				this.#handle(to, {type: 'peer-message', from: sender, topic, payload});
			}
		});
	}

	#call(
		host: FleetHost,
		effect: Extract<Effect, {type: 'read-object' | 'write-object'}>,
	): void {
		const {site} = this.#options;
		this.counts.storeCalls++;
		const delay = site.getStoreDelay(host.self) + storeDelay;
		const {operationId, name} = effect;
		this.delay(delay, () => {
			const isReached =
				this.isStoreUp && !this.#isCut(host.self.region, site.regions[0]!);
			const event: KernelEvent =
				effect.type === 'read-object'
					? {
							type: 'object-read',
							operationId,
							name,
							result: this.#read(name, isReached),
						}
					: {
							type: 'object-written',
							operationId,
							name,
							result: isReached ? this.#write(effect) : {kind: 'failed'},
						};
			this.delay(delay, () => {
				if (host.isAlive) {
					this.#handle(host, event);
				}
			});
		});
	}

	#read(
		name: string,
		isReached: boolean,
	): Extract<KernelEvent, {type: 'object-read'}>['result'] {
		const object = this.#objects.get(name);
		if (!isReached) {
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
			this.delay(this.#options.site.getStoreDelay(host.self), () => {
				const isCut = this.#isCut(
					host.self.region,
					this.#options.site.regions[0]!,
				);
				if (host.isAlive && this.isStoreUp && !isCut) {
					this.#handle(host, {type: 'object-changed', object});
				}
			});
		}

		return {kind: 'written', version: version + 1};
	}

	#isCut(left: string, right: string): boolean {
		const isApart = this.cutRegions.has(left) || this.cutRegions.has(right);
		return left !== right && isApart;
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
			customers: this.#options.customers.map((each) => ({...each, weight: 1})),
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

/** The budget that a customer's requests take from. */
export function toBudgetId(customer: Customer): string {
	return toCustomerBudgetId(customer.name);
}
