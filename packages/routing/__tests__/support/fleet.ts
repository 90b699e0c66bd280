import prand from 'pure-rand';
import type {AttemptResult} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {Safeguards} from '../../src/safeguards.js';
import {CountingBudgets} from './counting-budgets.js';
import {FleetOracle, type ObservedChoice} from './fleet-oracle.js';
import {configurations, hostCount, shiftCap, type Step} from './fleet-steps.js';
import {RoutingHost} from './routing-host.js';

const regions = ['tpe', 'sin', 'fra'];
const hostRegions = ['tpe', 'tpe', 'tpe', 'sin'];

/** Entry hosts with the real plug-in, checked by the oracle after each step. */
export class Fleet {
	readonly violations: string[] = [];
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
			this.#checkCapacityInUse();
		}

		while (this.#oracle.running.length > 0) {
			this.#end(0, 'answered', false);
		}

		this.#checkCapacityInUse();
		this.violations.push(
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
				this.#end(step.index, step.outcome, step.isDuplicated);
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

			incrementCount(this.#oracle.retries, index);
			this.violations.push(...this.#oracle.checkRetries(index));
		}

		const result = host.choose(route, {
			triedServers: isRetry ? ['none'] : [],
		});
		if (result.isErr) {
			return;
		}

		if (!isRetry) {
			incrementCount(this.#oracle.firstAttempts, index);
		}

		const observed: ObservedChoice = {
			host: index,
			choice: result.value,
			at: this.#now,
			isShifted: host.effects.some(
				(effect) =>
					effect.type === 'count' && effect.labels.outcome === 'shifted',
			),
			hasEnded: false,
			wasSent: true,
		};
		this.#oracle.choices.push(observed);
		this.violations.push(...this.#oracle.checkChoice(observed, this.#now));
		this.#readEffects(index);
	}

	#end(
		index: number,
		outcome: AttemptResult['outcome'],
		isDuplicated: boolean,
	): void {
		const {running} = this.#oracle;
		const observed = running[index % Math.max(1, running.length)];
		if (observed === undefined) {
			return;
		}

		observed.hasEnded = true;
		observed.wasSent = outcome !== 'not-sent';
		const host = this.#hosts[observed.host]!;
		host.end(observed.choice, {outcome});
		if (isDuplicated) {
			host.end(observed.choice, {outcome});
		}

		this.#readEffects(observed.host);
	}

	#configure(index: number): void {
		this.#oracle.setConfiguration(configurations[index]!);
		for (const host of this.#hosts) {
			host.applyConfiguration(configurations[index]!);
		}
	}

	#advance(duration: Milliseconds): void {
		this.#now += duration;
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

	/** Checks that the slots in use equal the requests in flight. */
	#checkCapacityInUse(): void {
		for (const region of regions) {
			const running = this.#oracle.running.filter(
				(observed) => observed.choice.server.region === region,
			).length;
			const inUse = this.#budgets.getInUse(`room/reader-desk/${region}`);
			if (inUse !== running) {
				this.violations.push(
					`${region}: ${running} requests are in flight but ${inUse} slots are held`,
				);
			}
		}
	}
}

function incrementCount(counts: Map<number, number>, key: number): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}

function createRandom(seed: number): () => number {
	const generator = prand.xoroshiro128plus(seed);
	return () => generator.unsafeNext() / 2 ** 32 + 0.5;
}
