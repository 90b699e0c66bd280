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

/** Three hosts, a in force with the first configuration. */
class Trio {
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

	run(span: number): void {
		this.fleet.schedule.advance(span);
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
		const asked = this.fleet.getHost(0);
		this.oracle.onWithdrawal('withdrawal', keyHashes[0]!, asked);
		this.fleet.deliver(asked, {
			type: 'key-withdrawal-requested',
			operationId: 'withdrawal',
			keyName: keyNames[0],
		});
	}
}

function runKeptOnlyInMemory(trio: Trio): void {
	trio.fleet.store.mode = 'down';
	trio.withdraw();
	trio.run(5000);
	for (const name of ['a', 'b', 'c']) {
		trio.fleet.start(name);
	}

	trio.fleet.store.mode = 'up';
	trio.run(5000);
}

function runMajorityCutFromStore(trio: Trio): void {
	const {fleet} = trio;
	fleet.cutFromStore.add('b').add('c');
	fleet.cut('a', 'b');
	fleet.cut('a', 'c');
	trio.withdraw();
	trio.run(8000);
}

function runRestartAfterEarlyConfirmation(trio: Trio): void {
	const {fleet} = trio;
	fleet.cutFromStore.add('a').add('c');
	fleet.cut('a', 'c');
	fleet.cut('b', 'c');
	trio.withdraw();
	trio.run(1000);
	fleet.cut('a', 'b');
	fleet.start('b');
	trio.run(1000);
	fleet.cutFromStore.add('b');
	fleet.cutFromStore.delete('a');
	fleet.cutPairs.delete('b c');
	fleet.cutPairs.delete('c b');
	trio.run(8000);
}

function runVoucherWithoutMemory(trio: Trio): void {
	const {fleet} = trio;
	fleet.cutFromStore.add('c');
	fleet.cut('a', 'c');
	fleet.cut('b', 'c');
	trio.withdraw();
	trio.run(5000);
	expect(fleet.answers.at(-1)!.answer.result.kind).toEqual('accepted');
	fleet.store.mode = 'down';
	fleet.cut('a', 'b');
	fleet.start('b');
	fleet.cutPairs.delete('b c');
	fleet.cutPairs.delete('c b');
	trio.run(5000);
}

function runKeyPutBack(trio: Trio): void {
	const withdrawn = createSample(0);
	withdrawn.keys[0]!.withdrawn = true;
	trio.propose(1, withdrawn);
	trio.run(1000);
	trio.propose(2, createSample(0));
	trio.run(5000);
	for (const host of trio.fleet.hosts) {
		if (trio.fleet.identify(host, keyHashes[0]!)) {
			throw new Error('a key came back');
		}
	}
}

const scenarios = {
	waitForStore: runKeptOnlyInMemory,
	waitForMajority: runMajorityCutFromStore,
	confirmAfterStore: runRestartAfterEarlyConfirmation,
	syncedVouchers: runVoucherWithoutMemory,
	monotoneWithdrawals: runKeyPutBack,
} satisfies Partial<Record<keyof Safeguards, (trio: Trio) => void>>;

const afterWithdrawal = 'accepts a key after its withdrawal was acknowledged';

/** What the fuzzer must find, within so many runs, with a safeguard off. */
const findings: Array<{
	safeguard: keyof Safeguards;
	runs: number;
	message: string;
}> = [
	{safeguard: 'risingVersions', runs: 150, message: 'went back from'},
	{safeguard: 'readBack', runs: 50, message: 'was refused and applied'},
	{safeguard: 'freshness', runs: 50, message: afterWithdrawal},
	{safeguard: 'ageFromRequest', runs: 100, message: afterWithdrawal},
	{safeguard: 'waitForFreshness', runs: 50, message: afterWithdrawal},
];

describe('safeguards of configuration and keys', () => {
	for (const [name, run] of Object.entries(scenarios)) {
		it(`${name}: the scenario breaks the promise without it only`, () => {
			run(new Trio({}));
			expect(() => {
				run(new Trio({[name]: false}));
			}).toThrow();
		});
	}

	for (const {safeguard, runs, message} of findings) {
		it(`${safeguard}: the fuzzer finds the breach without it`, () => {
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
