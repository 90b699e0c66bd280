import {createHash} from 'node:crypto';
import {
	budgetsKey,
	createKernel,
	type Budgets,
	type BudgetSpec,
	type Effect,
	type Kernel,
	type KernelEvent,
} from '@parsleyvale/kernel';
import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import {createBudgets} from '../src/index.js';
import type {Safeguards} from '../src/safeguards.js';
import {clockRateError} from '../src/units.js';
import {FakeStore} from './fake-store.js';
import {CountOracle, RateOracle} from './oracle.js';

export const rate = {
	kind: 'rate',
	id: 'customer/a',
	perSecond: 40,
	burst: 15,
} as const;
export const count = {
	kind: 'count',
	id: 'room/p/tpe',
	total: 7,
	longestHold: 3000,
	region: 'tpe',
} as const;

const specs: readonly BudgetSpec[] = [rate, count];
const tickPeriod: Milliseconds = 100;
const clockRates = [1, 1 + clockRateError, 1 - clockRateError];

export type Host = {
	readonly self: EntryHost;
	readonly kernel: Kernel;
	readonly budgets: Budgets;
	readonly clockRate: number;
	readonly clockStart: Milliseconds;
	isAlive: boolean;
	isFrozen: boolean;
};

type Delivery = {
	readonly at: Milliseconds;
	readonly to: Host;
	readonly from: Host | undefined;
	readonly event: KernelEvent;
};

type Hold = {readonly host: Host; readonly endsAt: Milliseconds};

export type Weather = {
	readonly loss: number;
	readonly repeat: number;
	readonly longestDelay: Milliseconds;
};

export const fairWeather: Weather = {loss: 0, repeat: 0, longestDelay: 10};

/** A few hosts, a store and a network under one hand, in virtual time. */
export class World {
	now: Milliseconds = 0;
	weather = fairWeather;
	overrun: string | undefined;
	taken = 0;
	refused = 0;
	hosts: Host[] = [];
	readonly store = new FakeStore();
	readonly cuts = new Set<string>();
	readonly #safeguards: Partial<Safeguards>;
	readonly #seed: number;
	readonly #rate = new RateOracle(rate.perSecond, rate.burst);
	readonly #count = new CountOracle(count.total);
	#deliveries: Delivery[] = [];
	#holds: Hold[] = [];
	#draws = 0;
	#digest = Buffer.alloc(0);
	#incarnations = 0;

	constructor(size: number, seed: number, safeguards: Partial<Safeguards>) {
		this.#seed = seed;
		this.#safeguards = safeguards;
		this.store.onChange = (object) => {
			for (const host of this.hosts) {
				this.#push(host, undefined, {type: 'object-changed', object});
			}
		};
		for (let index = 0; index < size; index++) {
			this.addHost(index);
		}

		this.#announceMembers();
	}

	/** A number from 0 to below 1 that depends on the seed alone. */
	sample(): number {
		const offset = (this.#draws % 8) * 4;
		if (offset === 0) {
			const text = `${this.#seed}/${this.#draws}`;
			this.#digest = createHash('sha256').update(text).digest();
		}

		this.#draws++;
		return this.#digest.readUInt32BE(offset) / 2 ** 32;
	}

	addHost(index: number): void {
		this.#incarnations++;
		const self: EntryHost = {
			name: `h${index}`,
			incarnation: String(this.#incarnations),
			region: 'tpe',
			failureDomain: `tpe-${index % 2}`,
			callers: {address: '127.0.0.1', port: 1},
			peers: {address: '127.0.0.1', port: 2},
			leaving: false,
		};
		const kernel = createKernel({self, random: () => this.sample()});
		kernel.use(createBudgets({safeguards: this.#safeguards}));
		const host: Host = {
			self,
			kernel,
			budgets: kernel.inject(budgetsKey),
			clockRate: clockRates[index % clockRates.length]!,
			clockStart: 1000 * this.#incarnations,
			isAlive: true,
			isFrozen: false,
		};
		this.hosts[index] = host;
		kernel.on('configuration-changed', (_event, context) => {
			for (const spec of specs) {
				host.budgets.define(spec, context);
			}
		});
		this.handle(host, {
			type: 'configuration-changed',
			current: {
				version: 1,
				operationId: 'o',
				configuration: {
					regions: [],
					links: [],
					pools: [],
					customers: [],
					keys: [],
					routes: [],
					shifts: [],
					drains: [],
				},
			},
		});
	}

	restart(index: number): void {
		this.hosts[index]!.isAlive = false;
		this.addHost(index);
		this.#announceMembers();
	}

	/** The host's own clock. */
	toClock(host: Host): Milliseconds {
		return host.clockStart + this.now * host.clockRate;
	}

	handle(host: Host, event: KernelEvent): void {
		for (const effect of host.kernel.handle(event, this.toClock(host))) {
			this.#onEffect(host, effect);
		}
	}

	/** Lets time pass in steps, ticking and delivering. */
	run(span: Milliseconds, step: Milliseconds = 20): void {
		const end = this.now + span;
		while (this.now < end) {
			const before = this.now;
			this.now = Math.min(end, this.now + step);
			this.#endHolds();
			this.#deliver();
			const isTick =
				Math.floor(before / tickPeriod) !== Math.floor(this.now / tickPeriod);
			for (const host of isTick ? this.hosts : []) {
				if (host.isAlive && !host.isFrozen) {
					this.handle(host, {type: 'tick'});
				}
			}
		}
	}

	/** Takes from the rate until the host refuses, at most so often. */
	take(host: Host, most: number, amount = 1): number {
		let taken = 0;
		while (host.isAlive && taken < most) {
			const result = host.budgets.take(rate.id, amount, this.toClock(host));
			if (result !== 'taken') {
				this.refused++;
				break;
			}

			taken++;
			this.taken += amount;
			if (!this.#rate.take(amount, this.now)) {
				this.overrun ??= `rate overrun at ${this.now} on ${host.self.name}`;
			}
		}

		return taken;
	}

	/** Takes slots until the host refuses, each for the longest hold. */
	occupy(host: Host, most: number): number {
		let taken = 0;
		while (host.isAlive && taken < most) {
			if (host.budgets.take(count.id, 1, this.toClock(host)) !== 'taken') {
				break;
			}

			taken++;
			const span = Math.floor(count.longestHold * (0.5 + this.sample() / 2));
			this.#holds.push({host, endsAt: this.now + span});
			if (!this.#count.take(1)) {
				this.overrun ??= `count overrun at ${this.now} on ${host.self.name}`;
			}
		}

		return taken;
	}

	/** Takes a token for an attempt that surely did not run, and undoes it. */
	undo(host: Host): void {
		const now = this.toClock(host);
		if (host.budgets.take(rate.id, 1, now) === 'taken') {
			host.budgets.giveBack(rate.id, 1, now);
		}
	}

	want(host: Host, budgetId: string, amount: number): void {
		if (host.isAlive && !host.isFrozen) {
			const {kernel} = host;
			kernel.on('room-changed', (event, context) => {
				if (event.pool === `${budgetId}#${this.#draws}`) {
					host.budgets.want(budgetId, amount, context);
				}
			});
			this.handle(host, {
				type: 'room-changed',
				pool: `${budgetId}#${this.#draws}`,
			});
			this.sample();
		}
	}

	setCut(left: number, right: number, isCut: boolean): void {
		for (const key of [`${left}-${right}`, `${right}-${left}`]) {
			if (isCut) {
				this.cuts.add(key);
			} else {
				this.cuts.delete(key);
			}
		}
	}

	#announceMembers(): void {
		const members = this.hosts.map((host) => host.self);
		for (const host of this.hosts) {
			if (host.isAlive && !host.isFrozen) {
				this.handle(host, {type: 'members-changed', members});
			}
		}
	}

	#onEffect(host: Host, effect: Effect): void {
		if (effect.type === 'send-peer') {
			this.#send(host, effect);
			return;
		}

		const event = this.store.answer(effect);
		if (event !== undefined) {
			this.#push(host, undefined, event);
		}
	}

	#send(from: Host, effect: Extract<Effect, {type: 'send-peer'}>): void {
		const to = this.hosts.find((host) => host.self.name === effect.to);
		const {name, incarnation} = from.self;
		const key = `${name.slice(1)}-${effect.to.slice(1)}`;
		if (to === undefined || this.cuts.has(key)) {
			return;
		}

		const event: KernelEvent = {
			type: 'peer-message',
			from: {name, incarnation},
			topic: effect.topic,
			payload: structuredClone(effect.payload),
		};
		if (this.sample() >= this.weather.loss) {
			this.#push(to, from, event);
		}

		if (this.sample() < this.weather.repeat) {
			this.#push(to, from, event);
		}
	}

	#push(to: Host, from: Host | undefined, event: KernelEvent): void {
		const delay = 1 + this.sample() * this.weather.longestDelay;
		this.#deliveries.push({at: this.now + delay, to, from, event});
	}

	#deliver(): void {
		const due = this.#deliveries.filter(
			({at, to}) => at <= this.now && !to.isFrozen,
		);
		this.#deliveries = this.#deliveries.filter(
			({at, to}) => at > this.now || to.isFrozen,
		);
		due.sort((left, right) => left.at - right.at);
		for (const {to, from, event} of due) {
			// A message reaches whatever process now has the name.
			const now = this.hosts.find((host) => host.self.name === to.self.name)!;
			const target = from === undefined ? to : now;
			if (target.isAlive && !target.isFrozen) {
				this.handle(target, event);
			}
		}
	}

	#endHolds(): void {
		const ended = this.#holds.filter(({endsAt}) => endsAt <= this.now);
		this.#holds = this.#holds.filter(({endsAt}) => endsAt > this.now);
		for (const {host} of ended) {
			this.#count.giveBack(1);
			if (host.isAlive) {
				host.budgets.giveBack(count.id, 1, this.toClock(host));
			}
		}
	}
}
