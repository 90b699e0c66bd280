import {createHash} from 'node:crypto';
import {
	createKernel,
	configurationKey,
	type ConfigurationView,
	type Effect,
	type EffectOf,
	type Kernel,
	type KernelEvent,
} from '@parsleyvale/kernel';
import type {EntryHost} from '@parsleyvale/shared';
import {createConfiguration, type ConfigurationPlugin} from '../src/index.js';
import type {Safeguards} from '../src/options.js';
import {FakeStore, isStoreCall} from './fake-store.js';
import {Schedule} from './schedule.js';

const tickIntervalMs = 100;
const listIntervalMs = 1000;

export type Answer = EffectOf<'answer-operator'>;

export function toHash(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

export function createEntryHost(name: string, incarnation: number): EntryHost {
	return {
		name,
		incarnation: `${name}-${incarnation}`,
		region: 'tpe',
		failureDomain: 'tpe-a',
		callers: {address: '127.0.0.1', port: 1},
		peers: {address: '127.0.0.1', port: 2},
		leaving: false,
	};
}

/** A process of an entry host: a real kernel with its own clock offset. */
export class FleetHost {
	readonly name: string;
	readonly incarnation: string;
	readonly plugin: ConfigurationPlugin;
	readonly view: ConfigurationView;
	readonly kernel: Kernel;
	isAlive = true;
	frozenUntil = 0;
	readonly #clockOffset: number;

	constructor(host: EntryHost, fleet: Fleet) {
		this.name = host.name;
		this.incarnation = host.incarnation;
		this.#clockOffset = Math.floor(fleet.schedule.random() * 1e6);
		this.plugin = createConfiguration({safeguards: fleet.safeguards});
		this.kernel = createKernel({self: host, random: fleet.schedule.random});
		this.kernel.use(this.plugin);
		this.view = this.kernel.inject(configurationKey);
	}

	toLocalTime(now: number): number {
		return now + this.#clockOffset;
	}
}

/** Simulates entry hosts, a store and a lossy network in virtual time. */
export class Fleet {
	readonly schedule: Schedule;
	readonly store: FakeStore;
	readonly hosts: FleetHost[] = [];
	readonly safeguards: Partial<Safeguards>;
	readonly answers: Array<{answer: Answer; at: number}> = [];
	readonly cutOffFromStore = new Set<string>();
	/** Sender and receiver of each blocked direction, such as 'a b'. */
	readonly partitionedPairs = new Set<string>();
	lossRate = 0;
	maxMessageDelayMs = 20;
	isListing = true;
	/** Called before and after a host handles an event. */
	readonly listeners: Array<(host: FleetHost) => void> = [];
	readonly #startCounts = new Map<string, number>();

	constructor(seed: number, safeguards: Partial<Safeguards> = {}) {
		this.schedule = new Schedule(seed);
		this.store = new FakeStore(this.schedule);
		this.safeguards = safeguards;
	}

	start(name: string): void {
		const previousIndex = this.hosts.findIndex((host) => host.name === name);
		const count = (this.#startCounts.get(name) ?? 0) + 1;
		this.#startCounts.set(name, count);
		const host = new FleetHost(createEntryHost(name, count), this);
		if (previousIndex === -1) {
			this.hosts.push(host);
		} else {
			this.hosts[previousIndex]!.isAlive = false;
			this.hosts[previousIndex] = host;
		}

		this.#tick(host);
		this.#listHosts(host);
	}

	getHost(index: number): FleetHost {
		return this.hosts[index % this.hosts.length]!;
	}

	identify(host: FleetHost, hash: string): boolean {
		return host.view.identify(hash, host.toLocalTime(this.schedule.now)).isOk;
	}

	freeze(host: FleetHost, spanMs: number): void {
		host.frozenUntil = Math.max(host.frozenUntil, this.schedule.now + spanMs);
	}

	partition(a: string, b: string): void {
		this.partitionedPairs.add(`${a} ${b}`).add(`${b} ${a}`);
	}

	heal(): void {
		this.partitionedPairs.clear();
		this.cutOffFromStore.clear();
		this.store.mode = 'up';
		this.lossRate = 0;
		this.maxMessageDelayMs = 20;
	}

	/** Delivers an event to a host; a frozen host handles it once it resumes. */
	deliver(host: FleetHost, event: KernelEvent): void {
		const remainingMs = host.frozenUntil - this.schedule.now;
		if (remainingMs > 0) {
			this.schedule.add(remainingMs, () => {
				this.deliver(host, event);
			});
			return;
		}

		if (host.isAlive) {
			this.#callListeners(host);
			const now = host.toLocalTime(this.schedule.now);
			for (const effect of host.kernel.handle(event, now)) {
				this.#handleEffect(host, effect);
			}

			this.#callListeners(host);
		}
	}

	#callListeners(host: FleetHost): void {
		for (const listener of this.listeners) {
			listener(host);
		}
	}

	#handleEffect(host: FleetHost, effect: Effect): void {
		if (effect.type === 'send-peer') {
			this.#send(host, effect);
		} else if (effect.type === 'answer-operator') {
			this.answers.push({answer: effect, at: this.schedule.now});
		} else if (isStoreCall(effect)) {
			const isReachable = () => !this.cutOffFromStore.has(host.name);
			this.store.handle(effect, isReachable, (event) => {
				this.deliver(host, event);
			});
		}
	}

	#send(from: FleetHost, effect: EffectOf<'send-peer'>): void {
		const {random} = this.schedule;
		const payload = structuredClone(effect.payload);
		const copies = random() < this.lossRate ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			if (random() < this.lossRate) {
				continue;
			}

			this.schedule.add(1 + random() * this.maxMessageDelayMs, () => {
				const isPartitioned = this.partitionedPairs.has(
					`${from.name} ${effect.to}`,
				);
				const to = this.hosts.find(({name}) => name === effect.to);
				if (to !== undefined && !isPartitioned) {
					const {name, incarnation} = from;
					this.deliver(to, {
						type: 'peer-message',
						from: {name, incarnation},
						topic: effect.topic,
						payload,
					});
				}
			});
		}
	}

	#tick(host: FleetHost): void {
		if (host.isAlive) {
			this.deliver(host, {type: 'tick'});
			this.schedule.add(tickIntervalMs, () => {
				this.#tick(host);
			});
		}
	}

	#listHosts(host: FleetHost): void {
		if (!host.isAlive) {
			return;
		}

		if (this.isListing && this.store.mode !== 'down') {
			const hosts = this.hosts.map(({kernel}) => kernel.self);
			this.deliver(host, {type: 'hosts-listed', hosts});
		}

		this.schedule.add(listIntervalMs, () => {
			this.#listHosts(host);
		});
	}
}
