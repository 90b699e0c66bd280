import fc from 'fast-check';
import type {Safeguards} from '../src/options.js';
import {Fleet} from './fleet.js';
import {Oracle} from './oracle.js';
import {createSample, keyHashes, keyNames} from './samples.js';
import type {StoreMode} from './fake-store.js';

const hostNames = ['a', 'b', 'c', 'd'];
const convergenceTimeMs = 30_000;

export type Step =
	| {kind: 'propose'; host: number; versionsBehind: number; variant: number}
	| {kind: 'repeat'; host: number; proposalsBack: number}
	| {kind: 'withdraw'; host: number; key: number}
	| {kind: 'store'; mode: StoreMode}
	| {kind: 'cut-store'; host: number}
	| {kind: 'cut-host'; host: number}
	| {kind: 'lossy'; rate: number; maxDelayMs: number}
	| {kind: 'freeze'; host: number; spanMs: number}
	| {kind: 'restart'; host: number}
	| {kind: 'heal'}
	| {kind: 'run'; spanMs: number};

type Fault = Exclude<Step, {kind: 'propose' | 'repeat' | 'withdraw' | 'run'}>;

const host = fc.nat(3);
const storeModes: StoreMode[] = [
	'up',
	'down',
	'slow',
	'loses-answers',
	'stale',
];

/** Random scripts of operator actions and faults. */
export const steps: fc.Arbitrary<Step[]> = fc.array(
	fc.oneof(
		fc.record({
			kind: fc.constant('propose' as const),
			host,
			versionsBehind: fc.constantFrom(0, 0, 0, 1, 2),
			variant: fc.nat(50),
		}),
		fc.record({
			kind: fc.constant('repeat' as const),
			host,
			proposalsBack: fc.nat(2),
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
			maxDelayMs: fc.constantFrom(20, 1500),
		}),
		fc.record({
			kind: fc.constant('freeze' as const),
			host,
			spanMs: fc.constantFrom(500, 3000, 8000),
		}),
		fc.record({kind: fc.constant('restart' as const), host}),
		fc.record({kind: fc.constant('heal' as const)}),
		{
			weight: 4,
			arbitrary: fc.record({
				kind: fc.constant('run' as const),
				spanMs: fc.constantFrom(5, 50, 300, 1500, 3000),
			}),
		},
	),
	{minLength: 10, maxLength: 40, size: 'max'},
);

type ProposedChange = {
	readonly operationId: string;
	readonly expectedVersion: number;
	readonly variant: number;
};

/** Runs a script on a fleet of four hosts while the oracle checks invariants. */
class Session {
	readonly fleet: Fleet;
	readonly oracle: Oracle;
	readonly #proposals: ProposedChange[] = [];
	#operationCount = 0;

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
					operationId: `operation-${this.#operationCount++}`,
					expectedVersion: Math.max(0, length - step.versionsBehind),
					variant: step.variant,
				});
				break;
			}

			case 'repeat': {
				const proposal = this.#proposals.at(-1 - step.proposalsBack);
				if (proposal !== undefined) {
					this.#deliver(step.host, proposal);
				}

				break;
			}

			case 'withdraw': {
				this.#withdraw(step.host, step.key);
				break;
			}

			case 'run': {
				fleet.schedule.advance(step.spanMs);
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

	waitUntilConverged(): void {
		this.fleet.heal();
		this.fleet.schedule.advance(convergenceTimeMs);
		this.oracle.checkConverged(keyHashes);
	}

	#startFault(step: Fault): void {
		const {fleet} = this;
		switch (step.kind) {
			case 'store': {
				fleet.store.mode = step.mode;
				break;
			}

			case 'cut-store': {
				fleet.cutOffFromStore.add(fleet.getHost(step.host).name);
				break;
			}

			case 'cut-host': {
				for (const other of hostNames) {
					fleet.partition(fleet.getHost(step.host).name, other);
				}

				break;
			}

			case 'lossy': {
				fleet.lossRate = step.rate;
				fleet.maxMessageDelayMs = step.maxDelayMs;
				break;
			}

			case 'freeze': {
				fleet.freeze(fleet.getHost(step.host), step.spanMs);
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

	#propose(target: number, proposal: ProposedChange): void {
		this.#proposals.push(proposal);
		this.#deliver(target, proposal);
	}

	#deliver(target: number, proposal: ProposedChange): void {
		const {operationId, expectedVersion, variant} = proposal;
		this.fleet.deliver(this.fleet.getHost(target), {
			type: 'configuration-proposed',
			operationId,
			expectedVersion,
			configuration: createSample(variant),
		});
	}

	#withdraw(target: number, key: number): void {
		const operationId = `withdrawal-${this.#operationCount++}`;
		const requestedHost = this.fleet.getHost(target);
		if (requestedHost.view.current === undefined) {
			return;
		}

		this.oracle.onWithdrawal(operationId, keyHashes[key]!, requestedHost);
		this.fleet.deliver(requestedHost, {
			type: 'key-withdrawal-requested',
			operationId,
			keyName: keyNames[key]!,
		});
	}
}

/** Throws if an invariant is violated during the script or after convergence. */
export function runSession(
	script: readonly Step[],
	networkSeed: number,
	safeguards: Partial<Safeguards>,
): void {
	const session = new Session(networkSeed, safeguards);
	for (const step of script) {
		session.run(step);
	}

	session.waitUntilConverged();
}
