import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Safeguards} from '../src/options.js';
import {Fleet} from './fleet.js';
import {Oracle} from './oracle.js';
import {createSample, keyHashes, keyNames} from './samples.js';
import {runSession, steps} from './session.js';

const seed = 52_026;
const networkSeed = 7;

/** A fleet of three hosts with an initial configuration. */
class ScenarioSetup {
	readonly fleet: Fleet;
	readonly oracle: Oracle;

	constructor(safeguards: Partial<Safeguards>) {
		this.fleet = new Fleet(networkSeed, safeguards);
		this.oracle = new Oracle(this.fleet);
		for (const name of ['a', 'b', 'c']) {
			this.fleet.start(name);
		}

		this.propose(0, createSample(0));
		this.run(3000);
	}

	run(spanMs: number): void {
		this.fleet.schedule.advance(spanMs);
	}

	propose(
		expectedVersion: number,
		configuration: ReturnType<typeof createSample>,
	): void {
		this.fleet.deliver(this.fleet.getHost(0), {
			type: 'configuration-proposed',
			operationId: `operation-${expectedVersion}`,
			expectedVersion,
			configuration,
		});
	}

	withdraw(): void {
		const requestedHost = this.fleet.getHost(0);
		this.oracle.onWithdrawal('withdrawal', keyHashes[0]!, requestedHost);
		this.fleet.deliver(requestedHost, {
			type: 'key-withdrawal-requested',
			operationId: 'withdrawal',
			keyName: keyNames[0],
		});
	}
}

function runRestartBeforeStored(setup: ScenarioSetup): void {
	setup.fleet.store.mode = 'down';
	setup.withdraw();
	setup.run(5000);
	for (const name of ['a', 'b', 'c']) {
		setup.fleet.start(name);
	}

	setup.fleet.store.mode = 'up';
	setup.run(5000);
}

function runMajorityPartitioned(setup: ScenarioSetup): void {
	const {fleet} = setup;
	fleet.cutOffFromStore.add('b').add('c');
	fleet.partition('a', 'b');
	fleet.partition('a', 'c');
	setup.withdraw();
	setup.run(8000);
}

function runRestartAfterEarlyConfirmation(setup: ScenarioSetup): void {
	const {fleet} = setup;
	fleet.cutOffFromStore.add('a').add('c');
	fleet.partition('a', 'c');
	fleet.partition('b', 'c');
	setup.withdraw();
	setup.run(1000);
	fleet.partition('a', 'b');
	fleet.start('b');
	setup.run(1000);
	fleet.cutOffFromStore.add('b');
	fleet.cutOffFromStore.delete('a');
	fleet.partitionedPairs.delete('b c');
	fleet.partitionedPairs.delete('c b');
	setup.run(8000);
}

function runPeerRestartedWithoutSync(setup: ScenarioSetup): void {
	const {fleet} = setup;
	fleet.cutOffFromStore.add('c');
	fleet.partition('a', 'c');
	fleet.partition('b', 'c');
	setup.withdraw();
	setup.run(5000);
	expect(fleet.answers.at(-1)!.answer.result.kind).toEqual('accepted');
	fleet.store.mode = 'down';
	fleet.partition('a', 'b');
	fleet.start('b');
	fleet.partitionedPairs.delete('b c');
	fleet.partitionedPairs.delete('c b');
	setup.run(5000);
}

function runKeyRestoredByConfiguration(setup: ScenarioSetup): void {
	const withdrawn = createSample(0);
	withdrawn.keys[0]!.withdrawn = true;
	setup.propose(1, withdrawn);
	setup.run(1000);
	setup.propose(2, createSample(0));
	setup.run(5000);
	for (const host of setup.fleet.hosts) {
		if (setup.fleet.identify(host, keyHashes[0]!)) {
			throw new Error('a withdrawn key is accepted again');
		}
	}
}

const scenarios = {
	waitForStore: runRestartBeforeStored,
	waitForMajority: runMajorityPartitioned,
	confirmAfterStore: runRestartAfterEarlyConfirmation,
	requireSyncedPeers: runPeerRestartedWithoutSync,
	monotonicWithdrawals: runKeyRestoredByConfiguration,
} satisfies Partial<Record<keyof Safeguards, (setup: ScenarioSetup) => void>>;

const acceptedWithdrawnKey =
	'accepts a key after its withdrawal was acknowledged';

/** The violation that the fuzzer finds within `runs` without each safeguard. */
const expectedViolations: Array<{
	safeguard: keyof Safeguards;
	runs: number;
	message: string;
}> = [
	{safeguard: 'monotonicVersions', runs: 150, message: 'went back from'},
	{safeguard: 'readBack', runs: 50, message: 'was refused and applied'},
	{safeguard: 'requireFreshKeys', runs: 50, message: acceptedWithdrawnKey},
	{safeguard: 'ageFromRequest', runs: 100, message: acceptedWithdrawnKey},
	{safeguard: 'waitForLeaseExpiry', runs: 50, message: acceptedWithdrawnKey},
];

describe('safeguards of configuration and keys', () => {
	for (const [name, run] of Object.entries(scenarios)) {
		it(`${name}: the scenario violates the guarantee only without it`, () => {
			run(new ScenarioSetup({}));
			expect(() => {
				run(new ScenarioSetup({[name]: false}));
			}).toThrow();
		});
	}

	for (const {safeguard, runs, message} of expectedViolations) {
		it(`${safeguard}: the fuzzer finds a violation without it`, () => {
			const property = fc.property(steps, fc.nat(), (script, network) => {
				runSession(script, network, {[safeguard]: false});
			});
			const result = fc.check(property, {
				seed,
				numRuns: runs,
				endOnFailure: true,
			});
			expect(String(result.errorInstance)).toInclude(message);
		});
	}
});
