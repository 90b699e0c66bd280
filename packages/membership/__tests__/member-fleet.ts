import {
	ConfigurationView,
	configurationKey,
	createKernel,
	membershipKey,
	type Effect,
	type EffectOf,
	type Kernel,
	type KernelEvent,
	type Membership,
} from '@parsleyvale/kernel';
import {
	configurationSchema,
	ErrorKind,
	type EntryHost,
	type VersionedConfiguration,
} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {z} from 'zod';
import {createMembership, type MembershipPlugin} from '../src/index.js';
import {Schedule} from './schedule.js';

const tickIntervalMs = 100;
const listIntervalMs = 1000;
const listLagMs = 3000;

export const lookUpLifetimeMs = 2000;

export function createEntryHost(
	name: string,
	incarnation: number,
	region: string,
): EntryHost {
	return {
		name,
		incarnation: `${name}-${incarnation}`,
		region,
		failureDomain: `${region}-a`,
		callers: {address: '127.0.0.1', port: 1},
		peers: {address: '127.0.0.1', port: 2},
		leaving: false,
	};
}

/** Maps each key hash to a customer of the same name. */
export class FakeConfiguration extends ConfigurationView {
	current: VersionedConfiguration | undefined;

	set(configuration: z.input<typeof configurationSchema>): void {
		this.current = {
			version: 1,
			operationId: 'test',
			configuration: configurationSchema.parse(configuration),
		};
	}

	identify(keyHash: string): Result<string, ErrorKind> {
		return keyHash === ''
			? Result.err(ErrorKind.KeyUnknown)
			: Result.ok(keyHash);
	}
}

export class MemberHost {
	readonly plugin: MembershipPlugin;
	readonly membership: Membership;
	readonly kernel: Kernel;
	readonly startedAt: number;
	isAlive = true;
	isStopping = false;
	frozenUntil = 0;
	diedAt = Number.POSITIVE_INFINITY;

	constructor(
		readonly host: EntryHost,
		fleet: MemberFleet,
	) {
		this.startedAt = fleet.schedule.now;
		this.plugin = createMembership({lookUpLifetimeMs});
		this.kernel = createKernel({self: host, random: fleet.schedule.random});
		this.kernel.provide(configurationKey, fleet.configuration);
		this.kernel.use(this.plugin);
		this.membership = this.kernel.inject(membershipKey);
	}

	get name(): string {
		return this.host.name;
	}
}

/** Simulates entry hosts with a lossy network and a delayed host list. */
export class MemberFleet {
	readonly schedule: Schedule;
	readonly configuration = new FakeConfiguration();
	readonly hosts: MemberHost[] = [];
	readonly partitionedPairs = new Set<string>();
	lossRate = 0;
	maxMessageDelayMs = 20;
	readonly #startCounts = new Map<string, number>();

	constructor(seed: number) {
		this.schedule = new Schedule(seed);
	}

	start(name: string, region = 'tpe'): MemberHost {
		const count = (this.#startCounts.get(name) ?? 0) + 1;
		this.#startCounts.set(name, count);
		const host = new MemberHost(createEntryHost(name, count, region), this);
		const previousIndex = this.hosts.findIndex((known) => known.name === name);
		if (previousIndex === -1) {
			this.hosts.push(host);
		} else {
			this.kill(this.hosts[previousIndex]!);
			this.hosts[previousIndex] = host;
		}

		this.#tick(host);
		this.#listHosts(host);
		return host;
	}

	kill(host: MemberHost): void {
		host.isAlive = false;
		host.diedAt = Math.min(host.diedAt, this.schedule.now);
	}

	partition(a: string, b: string): void {
		this.partitionedPairs.add(`${a} ${b}`).add(`${b} ${a}`);
	}

	heal(): void {
		this.partitionedPairs.clear();
		this.lossRate = 0;
		this.maxMessageDelayMs = 20;
	}

	/** The look-up answer of a host to a caller with the customer's key. */
	lookUp(host: MemberHost, customer = '', callerAddress = '192.0.2.1') {
		const event: KernelEvent = {
			type: 'look-up-arrived',
			lookUpId: '1',
			keyHash: customer,
			callerAddress,
		};
		const effects = host.kernel.handle(event, this.schedule.now);
		for (const effect of effects) {
			if (effect.type === 'answer-look-up') {
				return effect.hosts;
			}
		}

		throw new Error('The look-up was not answered.');
	}

	deliver(host: MemberHost, event: KernelEvent): void {
		const remainingMs = host.frozenUntil - this.schedule.now;
		if (remainingMs > 0) {
			this.schedule.add(remainingMs, () => {
				this.deliver(host, event);
			});
		} else if (host.isAlive) {
			for (const effect of host.kernel.handle(event, this.schedule.now)) {
				this.#handleEffect(host, effect);
			}
		}
	}

	#handleEffect(from: MemberHost, effect: Effect): void {
		if (effect.type !== 'send-peer') {
			return;
		}

		const {random} = this.schedule;
		const {name, incarnation} = from.host;
		const copies = random() < this.lossRate ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const isLost = random() < this.lossRate;
			this.schedule.add(1 + random() * this.maxMessageDelayMs, () => {
				const isPartitioned = this.partitionedPairs.has(`${name} ${effect.to}`);
				const to = this.hosts.find((host) => host.name === effect.to);
				if (to !== undefined && !isPartitioned && !isLost) {
					const {topic, payload} = effect;
					const event = {
						type: 'peer-message',
						from: {name, incarnation},
						topic,
						payload: structuredClone(payload),
					} as const;
					this.deliver(to, event);
				}
			});
		}
	}

	#tick(host: MemberHost): void {
		if (host.isAlive) {
			this.deliver(host, {type: 'tick'});
			this.schedule.add(tickIntervalMs, () => {
				this.#tick(host);
			});
		}
	}

	#listHosts(host: MemberHost): void {
		if (!host.isAlive) {
			return;
		}

		const hosts = this.hosts.map((known) => known.host);
		const lagMs = host.startedAt === this.schedule.now ? 0 : listLagMs;
		this.schedule.add(lagMs, () => {
			this.deliver(host, {type: 'hosts-listed', hosts});
		});
		this.schedule.add(listIntervalMs, () => {
			this.#listHosts(host);
		});
	}
}
