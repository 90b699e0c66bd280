import prand from 'pure-rand';
import type {Ending} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {Safeguards} from '../../src/safeguards.js';
import {CountingBudgets} from './counting-budgets.js';
import {FleetOracle, type SeenChoice} from './fleet-oracle.js';
import {configurations, hostCount, shiftCap, type Step} from './fleet-steps.js';
import {RoutingHost} from './routing-host.js';

const regions = ['tpe', 'sin', 'fra'];
const hostRegions = ['tpe', 'tpe', 'tpe', 'sin'];

/** A few entry hosts with the real plug-in, and the oracle beside them. */
export class Fleet {
	readonly problems: string[] = [];
	readonly #budgets = new CountingBudgets();
	readonly #hosts: RoutingHost[];
	readonly #oracle = new FleetOracle(configurations[0]!);
	#now: Milliseconds = 0;

	constructor(safeguards: Partial<Safeguards>) {
		const random = createRandom(7);
		this.#hosts = Array.from(
			{length: hostCount},
			(_, index) =>
				new RoutingHost({
					safeguards,
					random,
					budgets: this.#budgets,
					name: `host-${index}`,
					region: hostRegions[index]!,
				}),
		);
		this.#configure(0);
	}

	run(steps: readonly Step[]): void {
		for (const step of steps) {
			this.#runStep(step);
			this.#checkHolds();
		}

		while (this.#oracle.running.length > 0) {
			this.#end(0, 'answered', false);
		}

		this.#checkHolds();
		this.problems.push(
			...this.#oracle.checkShift(shiftCap.perSecond, shiftCap.burst),
		);
	}

	#runStep(step: Step): void {
		switch (step.type) {
			case 'choose': {
				this.#choose(step.host, step.isRetry);
				break;
			}

			case 'end': {
				this.#end(step.index, step.outcome, step.twice);
				break;
			}

			case 'configure': {
				this.#configure(step.index);
				break;
			}

			case 'leave': {
				this.#oracle.leaving = step.names;
				for (const host of this.#hosts) {
					host.plugin.onServersLeaving(step.names, host.context);
				}

				break;
			}

			case 'advance': {
				this.#advance(step.span);
				break;
			}
		}
	}

	#choose(index: number, isRetry: boolean): void {
		const host = this.#hosts[index]!;
		const route = configurations[0]!.routes[0]!;
		if (isRetry) {
			if (!host.router.takeRetry(route, host.context)) {
				return;
			}

			addOne(this.#oracle.retries, index);
			this.problems.push(...this.#oracle.checkRetries(index));
		}

		const result = host.choose(route, {avoid: isRetry ? ['none'] : []});
		if (result.isErr) {
			return;
		}

		if (!isRetry) {
			addOne(this.#oracle.firstAttempts, index);
		}

		const seen: SeenChoice = {
			host: index,
			choice: result.value,
			at: this.#now,
			shift: host.effects.some(
				(effect) =>
					effect.type === 'count' && effect.labels.outcome === 'shifted',
			),
			isOver: false,
			wasSent: true,
		};
		this.#oracle.choices.push(seen);
		this.problems.push(...this.#oracle.checkChoice(seen, this.#now));
		this.#readEffects(index);
	}

	#end(index: number, outcome: Ending['outcome'], twice: boolean): void {
		const {running} = this.#oracle;
		const seen = running[index % Math.max(1, running.length)];
		if (seen === undefined) {
			return;
		}

		seen.isOver = true;
		seen.wasSent = outcome !== 'not-sent';
		const host = this.#hosts[seen.host]!;
		host.end(seen.choice, {outcome});
		if (twice) {
			host.end(seen.choice, {outcome});
		}

		this.#readEffects(seen.host);
	}

	#configure(index: number): void {
		this.#oracle.setConfiguration(configurations[index]!);
		for (const host of this.#hosts) {
			host.applyConfiguration(configurations[index]!);
		}
	}

	#advance(span: Milliseconds): void {
		this.#now += span;
		for (const [index, host] of this.#hosts.entries()) {
			host.now = this.#now;
			host.handle({type: 'tick'});
			this.#readEffects(index);
		}
	}

	#readEffects(index: number): void {
		const effects = this.#hosts[index]!.effects.splice(0);
		this.#oracle.onEffects(index, effects, this.#now);
	}

	/** What the budgets count is what runs: nothing lost, nothing twice. */
	#checkHolds(): void {
		for (const region of regions) {
			const running = this.#oracle.running.filter(
				(seen) => seen.choice.server.region === region,
			).length;
			const inUse = this.#budgets.getInUse(`room/reader-desk/${region}`);
			if (inUse !== running) {
				this.problems.push(`${region}: ${running} run and ${inUse} are held`);
			}
		}
	}
}

function addOne(counts: Map<number, number>, key: number): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}

function createRandom(seed: number): () => number {
	const generator = prand.xoroshiro128plus(seed);
	return () => generator.unsafeNext() / 2 ** 32 + 0.5;
}
