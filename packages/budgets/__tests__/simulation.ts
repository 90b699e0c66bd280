import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	budgetsKey,
	createKernel,
	type BudgetSpec,
	type Context,
	type Effect,
	type Kernel,
	type KernelEvent,
} from '@parsleyvale/kernel';
import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import {createBudgets} from '../src/index.js';
import type {DistributedBudgets} from '../src/distributed-budgets.js';
import type {Safeguards} from '../src/safeguards.js';
import {maxClockDrift, totalShareUnits} from '../src/units.js';
import {FakeStore} from './fake-store.js';
import {CountOracle, RateOracle} from './oracle.js';

/** Refills fast, so that a share held twice causes an overrun immediately. */
export const rate = {
	kind: 'rate',
	id: 'customer/a',
	perSecond: 1000,
	burst: 200,
} as const;
/**
 * Refills slowly, so that tokens credited twice cause an overrun immediately.
 */
export const slowRate = {
	kind: 'rate',
	id: 'customer/b',
	perSecond: 20,
	burst: 200,
} as const;
export const count = {
	kind: 'count',
	id: 'room/p/tpe',
	total: 7,
	maxHoldDuration: 3000,
	region: 'tpe',
} as const;

const specs: readonly BudgetSpec[] = [rate, slowRate, count];
const totals = [
	[rate.id, totalShareUnits],
	[count.id, count.total],
] as const;

const tickPeriod: Milliseconds = 100;
/** Maximum reading of a host's clock at the start of a session. */
const maxClockStart: Milliseconds = 1_000_000;

export type Host = {
	readonly self: EntryHost;
	readonly kernel: Kernel;
	readonly budgets: DistributedBudgets;
	readonly clockRate: number;
	readonly clockStart: Milliseconds;
	/** Run on the next `room-changed` event, which provides a context. */
	readonly callbacks: Array<(context: Context) => void>;
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

export type NetworkConditions = {
	readonly lossRate: number;
	readonly duplicateRate: number;
	readonly maxMessageDelay: Milliseconds;
};

export const reliableNetwork: NetworkConditions = {
	lossRate: 0,
	duplicateRate: 0,
	maxMessageDelay: 10,
};

/** Simulates hosts, a store and a network in virtual time. */
export class Simulation {
	now: Milliseconds = 0;
	network = reliableNetwork;
	overrun: string | undefined;
	hosts: Host[] = [];
	readonly store = new FakeStore();
	readonly partitions = new Set<string>();
	readonly #safeguards: Partial<Safeguards>;
	readonly #seed: number;
	readonly #regions: readonly string[];
	readonly #rates = new Map(
		[rate, slowRate].map((spec) => [
			spec.id as string,
			new RateOracle(spec.perSecond, spec.burst),
		]),
	);

	readonly #count = new CountOracle(count.total);
	#deliveries: Delivery[] = [];
	#holds: Hold[] = [];
	#sampleCount = 0;
	#digest = Buffer.alloc(0);
	#incarnations = 0;

	constructor(
		size: number,
		seed: number,
		safeguards: Partial<Safeguards>,
		regions: readonly string[] = ['tpe'],
	) {
		this.#regions = regions;
		this.#seed = seed;
		this.#safeguards = safeguards;
		this.store.onChange = (object) => {
			for (const host of this.hosts) {
				if (this.random() >= this.network.lossRate) {
					this.#schedule(host, undefined, {type: 'object-changed', object});
				}
			}
		};

		for (let index = 0; index < size; index++) {
			this.addHost(index);
		}

		this.#announceMembers();
	}

	/**
	 * Returns a number in [0, 1) that depends only on the seed and the call
	 * count.
	 */
	random(): number {
		const offset = (this.#sampleCount % 8) * 4;
		if (offset === 0) {
			const text = `${this.#seed}/${this.#sampleCount}`;
			this.#digest = createHash('sha256').update(text).digest();
		}

		this.#sampleCount++;
		return this.#digest.readUInt32BE(offset) / 2 ** 32;
	}

	addHost(index: number): void {
		this.#incarnations++;
		const self: EntryHost = {
			name: `h${index}`,
			incarnation: String(this.#incarnations),
			region: this.#regions[index % this.#regions.length]!,
			failureDomain: `tpe-${index % 2}`,
			callers: {address: '127.0.0.1', port: 1},
			peers: {address: '127.0.0.1', port: 2},
			leaving: false,
		};
		const kernel = createKernel({self, random: () => this.random()});
		kernel.use(createBudgets({safeguards: this.#safeguards}));
		const host: Host = {
			self,
			kernel,
			budgets: kernel.inject(budgetsKey) as DistributedBudgets,
			clockRate: this.#chooseClockRate(),
			clockStart: Math.floor(maxClockStart * this.random()),
			callbacks: [],
			isAlive: true,
			isFrozen: false,
		};
		this.hosts[index] = host;
		kernel.on('room-changed', (_event, context) => {
			for (const callback of host.callbacks.splice(0)) {
				callback(context);
			}
		});
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

	/** Returns the reading of the host's own clock. */
	toClock(host: Host): Milliseconds {
		return host.clockStart + this.now * host.clockRate;
	}

	handle(host: Host, event: KernelEvent): void {
		for (const effect of host.kernel.handle(event, this.toClock(host))) {
			this.#onEffect(host, effect);
		}
	}

	/** Advances time in steps, delivering messages and ticks. */
	run(span: Milliseconds, step: Milliseconds = 20): void {
		const end = this.now + span;
		while (this.now < end) {
			const before = this.now;
			this.now = Math.min(end, this.now + step);
			this.#endHolds();
			this.#deliver();
			this.#checkShares();
			const isTick =
				Math.floor(before / tickPeriod) !== Math.floor(this.now / tickPeriod);
			for (const host of isTick ? this.hosts : []) {
				if (host.isAlive && !host.isFrozen) {
					this.handle(host, {type: 'tick'});
				}
			}
		}
	}

	/** Takes what is available on the host, up to a maximum. */
	take(host: Host, maxAmount: number, budgetId: string = rate.id): number {
		const clock = this.toClock(host);
		const amount = Math.min(
			maxAmount,
			host.budgets.getAvailable(budgetId, clock),
		);
		const isTaken =
			host.isAlive &&
			amount > 0 &&
			host.budgets.take(budgetId, amount, clock) === 'taken';
		if (!isTaken) {
			return 0;
		}

		if (!this.#rates.get(budgetId)!.take(amount, this.now)) {
			this.overrun ??= `${budgetId} overrun at ${this.now}`;
		}

		return amount;
	}

	/**
	 * Takes slots until the host refuses, each for half to all of the longest
	 * hold.
	 */
	takeSlots(host: Host, maxAmount: number): number {
		let taken = 0;
		while (host.isAlive && taken < maxAmount) {
			if (host.budgets.take(count.id, 1, this.toClock(host)) !== 'taken') {
				break;
			}

			taken++;
			const span = Math.floor(
				count.maxHoldDuration * (0.5 + this.random() / 2),
			);
			this.#holds.push({host, endsAt: this.now + span});
			if (!this.#count.take(1)) {
				this.overrun ??= `count overrun at ${this.now} on ${host.self.name}`;
			}
		}

		return taken;
	}

	/**
	 * Takes tokens and gives them back, as for an attempt that was never
	 * executed.
	 */
	takeAndRefund(host: Host, amount: number): void {
		const before = host.budgets.getAvailable(rate.id, this.toClock(host));
		const clock = this.toClock(host);
		if (
			host.budgets.take(rate.id, Math.min(before, amount), clock) === 'taken'
		) {
			this.run(50);
			const later = this.toClock(host);
			host.budgets.release(rate.id, Math.min(before, amount), later, clock);
		}
	}

	requestLoan(host: Host, budgetId: string, amount: number): void {
		this.#runWithContext(host, (context) => {
			host.budgets.requestLoan(budgetId, amount, context);
		});
	}

	/** Halves the fast rate on one host, or restores it. */
	setHalved(host: Host, isHalved: boolean): void {
		const {perSecond, burst} = rate;
		const spec = isHalved
			? {...rate, perSecond: perSecond / 2, burst: burst / 2}
			: rate;
		this.#runWithContext(host, (context) => {
			host.budgets.define(spec, context);
		});
	}

	/** Removes the fast rate on one host and defines it again. */
	redefine(host: Host): void {
		this.#runWithContext(host, (context) => {
			host.budgets.remove(rate.id, context);
			host.budgets.define(rate, context);
		});
	}

	setPartitioned(left: number, right: number, isPartitioned: boolean): void {
		for (const key of [`${left}-${right}`, `${right}-${left}`]) {
			if (isPartitioned) {
				this.partitions.add(key);
			} else {
				this.partitions.delete(key);
			}
		}
	}

	/** All clocks run fast for every third seed; otherwise the rates differ. */
	#chooseClockRate(): number {
		const steps = [-1, 0, 1];
		const step =
			this.#seed % 3 === 0 ? 1 : steps[Math.floor(this.random() * 3)]!;
		return 1 + step * maxClockDrift;
	}

	#runWithContext(host: Host, callback: (context: Context) => void): void {
		if (host.isAlive && !host.isFrozen) {
			host.callbacks.push(callback);
			this.handle(host, {type: 'room-changed', pool: ''});
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
			this.#schedule(host, undefined, event);
		}
	}

	#send(from: Host, effect: Extract<Effect, {type: 'send-peer'}>): void {
		const to = this.hosts.find((host) => host.self.name === effect.to);
		const {name, incarnation} = from.self;
		const key = `${name.slice(1)}-${effect.to.slice(1)}`;
		if (to === undefined || this.partitions.has(key)) {
			return;
		}

		const event: KernelEvent = {
			type: 'peer-message',
			from: {name, incarnation},
			topic: effect.topic,
			payload: structuredClone(effect.payload),
		};
		if (this.random() >= this.network.lossRate) {
			this.#schedule(to, from, event);
		}

		if (this.random() < this.network.duplicateRate) {
			this.#schedule(to, from, event);
		}
	}

	#schedule(to: Host, from: Host | undefined, event: KernelEvent): void {
		const delay = 1 + this.random() * this.network.maxMessageDelay;
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
			// A message reaches the current process of the receiving name.
			const current = this.hosts.find(
				(host) => host.self.name === to.self.name,
			)!;
			const target = from === undefined ? to : current;
			if (target.isAlive && !target.isFrozen) {
				this.handle(target, event);
			}
		}
	}

	/**
	 * Checks that the units usable now, also on frozen hosts, do not exceed the
	 * total.
	 */
	#checkShares(): void {
		for (const [budgetId, total] of totals) {
			let units = 0;
			for (const host of this.hosts) {
				const {budgets} = host;
				const clock = this.toClock(host);
				// Applies expiries as a take would.
				budgets.getAvailable(budgetId, clock);
				const holding = budgets.holdings.findBudget(budgetId)!;
				units += host.isAlive ? holding.getHeldUnits(clock) : 0;
			}

			if (units > total) {
				this.overrun ??= `${units} units of ${budgetId} at ${this.now}`;
			}
		}
	}

	#endHolds(): void {
		const ended = this.#holds.filter(({endsAt}) => endsAt <= this.now);
		this.#holds = this.#holds.filter(({endsAt}) => endsAt > this.now);
		for (const {host} of ended) {
			this.#count.release(1);
			if (host.isAlive) {
				const clock = this.toClock(host);
				host.budgets.release(count.id, 1, clock, clock);
			}
		}
	}
}
