import fc from 'fast-check';
import type {Safeguards} from '../src/options.js';
import {Fleet} from './fleet.js';
import {Oracle} from './oracle.js';
import {createSample, keyHashes, keyNames} from './samples.js';
import type {StoreMode} from './fake-store.js';

const hostNames = ['a', 'b', 'c', 'd'];
const timeToSettle = 30_000;

export type Step =
	| {kind: 'propose'; host: number; behind: number; variant: number}
	| {kind: 'repeat'; host: number; back: number}
	| {kind: 'withdraw'; host: number; key: number}
	| {kind: 'store'; mode: StoreMode}
	| {kind: 'cut-store'; host: number}
	| {kind: 'cut-host'; host: number}
	| {kind: 'lossy'; rate: number; slowest: number}
	| {kind: 'freeze'; host: number; span: number}
	| {kind: 'restart'; host: number}
	| {kind: 'heal'}
	| {kind: 'run'; span: number};

type Fault = Exclude<Step, {kind: 'propose' | 'repeat' | 'withdraw' | 'run'}>;

const host = fc.nat(3);
const storeModes: StoreMode[] = [
	'up',
	'down',
	'slow',
	'loses-answers',
	'stale',
];

/** Scripts of operators' acts and faults. */
export const steps: fc.Arbitrary<Step[]> = fc.array(
	fc.oneof(
		fc.record({
			kind: fc.constant('propose' as const),
			host,
			behind: fc.constantFrom(0, 0, 0, 1, 2),
			variant: fc.nat(50),
		}),
		fc.record({
			kind: fc.constant('repeat' as const),
			host,
			back: fc.nat(2),
		}),
		fc.record({
			kind: fc.constant('withdraw' as const),
			host,
			key: fc.nat(keyNames.length - 2),
		}),
		fc.record({
			kind: fc.constant('store' as const),
			mode: fc.constantFrom(...storeModes),
		}),
		fc.record({kind: fc.constant('cut-store' as const), host}),
		fc.record({kind: fc.constant('cut-host' as const), host}),
		fc.record({
			kind: fc.constant('lossy' as const),
			rate: fc.constantFrom(0, 0.3),
			slowest: fc.constantFrom(20, 1500),
		}),
		fc.record({
			kind: fc.constant('freeze' as const),
			host,
			span: fc.constantFrom(500, 3000, 8000),
		}),
		fc.record({kind: fc.constant('restart' as const), host}),
		fc.record({kind: fc.constant('heal' as const)}),
		{
			weight: 4,
			arbitrary: fc.record({
				kind: fc.constant('run' as const),
				span: fc.constantFrom(5, 50, 300, 1500, 3000),
			}),
		},
	),
	{minLength: 10, maxLength: 40, size: 'max'},
);

type Proposed = {
	readonly operationId: string;
	readonly expectedVersion: number;
	readonly variant: number;
};

/** Runs scripts of faults over a fleet of four under the oracle's eyes. */
class Session {
	readonly fleet: Fleet;
	readonly oracle: Oracle;
	readonly #proposed: Proposed[] = [];
	#operations = 0;

	constructor(networkSeed: number, safeguards: Partial<Safeguards>) {
		this.fleet = new Fleet(networkSeed, safeguards);
		this.oracle = new Oracle(this.fleet);
		for (const name of hostNames) {
			this.fleet.start(name);
		}

		this.#propose(0, {operationId: 'first', expectedVersion: 0, variant: 0});
		this.fleet.schedule.advance(3000);
	}

	run(step: Step): void {
		const {fleet} = this;
		switch (step.kind) {
			case 'propose': {
				const {length} = fleet.store.listVersions('configuration');
				this.#propose(step.host, {
					operationId: `operation-${this.#operations++}`,
					expectedVersion: Math.max(0, length - step.behind),
					variant: step.variant,
				});
				break;
			}

			case 'repeat': {
				const proposed = this.#proposed.at(-1 - step.back);
				if (proposed !== undefined) {
					this.#deliver(step.host, proposed);
				}

				break;
			}

			case 'withdraw': {
				this.#withdraw(step.host, step.key);
				break;
			}

			case 'run': {
				fleet.schedule.advance(step.span);
				break;
			}

			case 'store':
			case 'cut-store':
			case 'cut-host':
			case 'lossy':
			case 'freeze':
			case 'restart':
			case 'heal': {
				this.#startFault(step);
				break;
			}
		}
	}

	waitUntilSettled(): void {
		this.fleet.heal();
		this.fleet.schedule.advance(timeToSettle);
		this.oracle.checkEnd(keyHashes);
	}

	#startFault(step: Fault): void {
		const {fleet} = this;
		switch (step.kind) {
			case 'store': {
				fleet.store.mode = step.mode;
				break;
			}

			case 'cut-store': {
				fleet.cutFromStore.add(fleet.getHost(step.host).name);
				break;
			}

			case 'cut-host': {
				for (const other of hostNames) {
					fleet.cut(fleet.getHost(step.host).name, other);
				}

				break;
			}

			case 'lossy': {
				fleet.lossRate = step.rate;
				fleet.slowestMessage = step.slowest;
				break;
			}

			case 'freeze': {
				fleet.freeze(fleet.getHost(step.host), step.span);
				break;
			}

			case 'restart': {
				fleet.start(fleet.getHost(step.host).name);
				break;
			}

			case 'heal': {
				fleet.heal();
				break;
			}
		}
	}

	#propose(target: number, proposed: Proposed): void {
		this.#proposed.push(proposed);
		this.#deliver(target, proposed);
	}

	#deliver(target: number, proposed: Proposed): void {
		const {operationId, expectedVersion, variant} = proposed;
		this.fleet.deliver(this.fleet.getHost(target), {
			type: 'configuration-proposed',
			operationId,
			expectedVersion,
			configuration: createSample(variant),
		});
	}

	#withdraw(target: number, key: number): void {
		const operationId = `withdrawal-${this.#operations++}`;
		const chosen = this.fleet.getHost(target);
		if (chosen.view.current === undefined) {
			return;
		}

		this.oracle.onWithdrawal(operationId, keyHashes[key]!, chosen);
		this.fleet.deliver(chosen, {
			type: 'key-withdrawal-requested',
			operationId,
			keyName: keyNames[key]!,
		});
	}
}

/** Throws when a promise is broken during the script or after it. */
export function runSession(
	script: readonly Step[],
	networkSeed: number,
	safeguards: Partial<Safeguards>,
): void {
	const session = new Session(networkSeed, safeguards);
	for (const step of script) {
		session.run(step);
	}

	session.waitUntilSettled();
}
