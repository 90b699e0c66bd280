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
import type {EscrowedBudgets} from '../src/escrow.js';
import type {Safeguards} from '../src/safeguards.js';
import {clockRateError, shareUnits} from '../src/units.js';
import {FakeStore} from './fake-store.js';
import {CountOracle, RateOracle} from './oracle.js';

/** Refills so fast that a share in use twice shows at once. */
export const rate = {
	kind: 'rate',
	id: 'customer/a',
	perSecond: 1000,
	burst: 200,
} as const;
/** Refills so slowly that tokens in use twice show at once. */
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
	longestHold: 3000,
	region: 'tpe',
} as const;

const specs: readonly BudgetSpec[] = [rate, slowRate, count];
const wholes = [
	[rate.id, shareUnits],
	[count.id, count.total],
] as const;

const tickPeriod: Milliseconds = 100;
/** Largest reading of a process's clock at the start of a session. */
const latestClockStart: Milliseconds = 1_000_000;

export type Host = {
	readonly self: EntryHost;
	readonly kernel: Kernel;
	readonly budgets: EscrowedBudgets;
	readonly clockRate: number;
	readonly clockStart: Milliseconds;
	/** Run at the next `room-changed`, for they need a context. */
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
	hosts: Host[] = [];
	readonly store = new FakeStore();
	readonly cuts = new Set<string>();
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
	#draws = 0;
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
				if (this.sample() >= this.weather.loss) {
					this.#push(host, undefined, {type: 'object-changed', object});
				}
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
			region: this.#regions[index % this.#regions.length]!,
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
			budgets: kernel.inject(budgetsKey) as EscrowedBudgets,
			clockRate: this.#chooseClockRate(),
			clockStart: Math.floor(latestClockStart * this.sample()),
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

	/** Takes what the host lets go, at most so much. */
	take(host: Host, most: number, budgetId: string = rate.id): number {
		const clock = this.toClock(host);
		const amount = Math.min(most, host.budgets.getAvailable(budgetId, clock));
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
	undo(host: Host, amount: number): void {
		const before = host.budgets.getAvailable(rate.id, this.toClock(host));
		const clock = this.toClock(host);
		if (
			host.budgets.take(rate.id, Math.min(before, amount), clock) === 'taken'
		) {
			this.run(50);
			const later = this.toClock(host);
			host.budgets.giveBack(rate.id, Math.min(before, amount), later, clock);
		}
	}

	want(host: Host, budgetId: string, amount: number): void {
		this.#runWithContext(host, (context) => {
			host.budgets.want(budgetId, amount, context);
		});
	}

	/** Halves the fast rate on one host, or makes it whole again. */
	resize(host: Host, isHalf: boolean): void {
		const {perSecond, burst} = rate;
		const spec = isHalf
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

	setCut(left: number, right: number, isCut: boolean): void {
		for (const key of [`${left}-${right}`, `${right}-${left}`]) {
			if (isCut) {
				this.cuts.add(key);
			} else {
				this.cuts.delete(key);
			}
		}
	}

	/** In some sessions all clocks are fast, in others they differ. */
	#chooseClockRate(): number {
		const steps = [-1, 0, 1];
		const step =
			this.#seed % 3 === 0 ? 1 : steps[Math.floor(this.sample() * 3)]!;
		return 1 + step * clockRateError;
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

	/** Shares that could be used now, by woken hosts too, fit the whole. */
	#checkShares(): void {
		for (const [budgetId, whole] of wholes) {
			let units = 0;
			for (const host of this.hosts) {
				const {budgets} = host;
				const clock = this.toClock(host);
				// Looks at the clock as a take would.
				budgets.getAvailable(budgetId, clock);
				const holding = budgets.holdings.findBudget(budgetId)!;
				units += host.isAlive ? holding.getUnits(clock) : 0;
			}

			if (units > whole) {
				this.overrun ??= `${units} units of ${budgetId} at ${this.now}`;
			}
		}
	}

	#endHolds(): void {
		const ended = this.#holds.filter(({endsAt}) => endsAt <= this.now);
		this.#holds = this.#holds.filter(({endsAt}) => endsAt > this.now);
		for (const {host} of ended) {
			this.#count.giveBack(1);
			if (host.isAlive) {
				const clock = this.toClock(host);
				host.budgets.giveBack(count.id, 1, clock, clock);
			}
		}
	}
}
