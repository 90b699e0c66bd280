import {describe, it} from 'node:test';
import {minute, second} from '@parsleyvale/shared';
import {expect} from 'earl';
import {CrashGuard, createRequestIdentity} from '../src/crashes/crash-guard.js';
import {Members} from '../src/members.js';
import {createDigest, createServer} from './support/kernel-session.js';

const deadly = createRequestIdentity('deadly', 'school');
const other = createRequestIdentity('other', 'school');
const blockDuration = 30 * second;
/** All hosts of the tests have had their turn after a block. */
const allTurns = 15 * second;

function createGuard(self = 'host-1', members = new Members(self)): CrashGuard {
	return new CrashGuard({self, members});
}

/** Crashes servers, one after the other, under requests that each of them had. */
function crash(
	guard: CrashGuard,
	identities: readonly string[],
	serverIds: readonly string[],
	at = 0,
): void {
	for (const [index, id] of serverIds.entries()) {
		for (const identity of identities) {
			guard.onConnectionLost(identity, createServer({id}), at + index);
		}
	}
}

/** Sends what one guard has to report to another. */
function report(from: CrashGuard, to: CrashGuard, now: number): void {
	to.onDigest(createDigest(from.createReport(now)), now);
}

describe('a request that was at servers when they crashed', () => {
	it('is blocked after the third, for longer after another one', () => {
		const guard = createGuard();
		crash(guard, [deadly], ['a', 'b']);
		expect(guard.isBlocked(deadly, 10)).toEqual(false);
		crash(guard, [deadly], ['c'], 5);
		expect(guard.isBlocked(deadly, 10)).toEqual(true);
		expect(guard.tryAdmit(deadly, 5 + blockDuration)).toEqual(undefined);
		crash(guard, [deadly], ['d'], 6 + blockDuration);
		expect(guard.isBlocked(deadly, 4 * blockDuration)).toEqual(true);
		expect(guard.isBlocked(deadly, 6 * blockDuration)).toEqual(false);
	});

	it('is blocked if three hosts lost one server each', () => {
		const guards = ['a', 'b', 'c'].map((id) => {
			const guard = createGuard(id);
			crash(guard, [deadly], [id]);
			return guard;
		});
		const [first, ...others] = guards;
		for (const guard of others) {
			report(guard, first!, 500);
		}

		expect(first!.isBlocked(deadly, 600)).toEqual(true);
		// One that has missed the reports learns of the block.
		const started = createGuard('d');
		report(first!, started, 20 * second);
		expect(started.isBlocked(deadly, 20 * second)).toEqual(true);
	});

	it('counts a server that several hosts lost once', () => {
		const guards = ['a', 'b', 'c'].map((id) => createGuard(id));
		for (const guard of guards) {
			crash(guard, [deadly], ['same']);
			report(guard, guards[0]!, 100);
		}

		expect(guards[0]!.isBlocked(deadly, 100)).toEqual(false);
	});

	it('is not sent to another server at once when two have crashed', () => {
		const guard = createGuard();
		crash(guard, [deadly], ['a']);
		expect(guard.mayRetry(deadly)).toEqual(true);
		crash(guard, [deadly], ['b']);
		expect(guard.mayRetry(deadly)).toEqual(false);
	});

	it('is tried by one host at a time after a block, and once until there is a result', () => {
		const names = ['host-1', 'host-2', 'host-3'];
		const guards = names.map((self) => {
			const members = new Members(self);
			for (const name of names) {
				members.onDigest(createDigest({name}), blockDuration);
			}

			return createGuard(self, members);
		});
		for (const guard of guards) {
			crash(guard, [deadly], ['a', 'b', 'c']);
		}

		const at = 100 + blockDuration;
		const admitted = guards.filter(
			(guard) => guard.tryAdmit(deadly, at) === undefined,
		);
		expect(admitted.length).toEqual(1);
		expect(admitted[0]!.tryAdmit(deadly, at + 1)).not.toEqual(undefined);
	});

	it('is cleared everywhere when a server answers it', () => {
		const guard = createGuard();
		const neighbour = createGuard('host-2');
		crash(guard, [deadly], ['a', 'b', 'c']);
		report(guard, neighbour, 100);
		expect(neighbour.isBlocked(deadly, 100)).toEqual(true);
		guard.onAnswered(deadly, 200);
		report(guard, neighbour, 300);
		expect(guard.isBlocked(deadly, 300)).toEqual(false);
		expect(neighbour.isBlocked(deadly, 300)).toEqual(false);
	});

	it('is forgotten when there is no further crash', () => {
		const guard = createGuard();
		crash(guard, [deadly], ['a', 'b', 'c']);
		guard.onTick(3 * blockDuration);
		expect(guard.culprits.size).toEqual(0);
		crash(guard, [deadly], ['d', 'e'], 3 * blockDuration);
		expect(guard.isBlocked(deadly, 3 * blockDuration + 10)).toEqual(false);
	});
});

describe('a healthy request', () => {
	it('is not blocked for crashes that a request with more of them explains', () => {
		const guard = createGuard();
		crash(guard, [deadly, other], ['a', 'b', 'c']);
		crash(guard, [deadly], ['d'], 10);
		expect(guard.isBlocked(deadly, 20)).toEqual(true);
		expect(guard.isBlocked(other, 20)).toEqual(false);
	});

	it('that was blocked by mistake is answered and cleared after the block', () => {
		const guard = createGuard();
		crash(guard, [other], ['a', 'b', 'c']);
		const at = blockDuration + allTurns;
		expect(guard.tryAdmit(other, at)).toEqual(undefined);
		guard.onAnswered(other, at + 100);
		expect(guard.tryAdmit(other, at + 200)).toEqual(undefined);
		expect(guard.culprits.size).toEqual(0);
	});

	it('is not suspected where the server lost only its answer', () => {
		const guard = createGuard();
		for (const [index, id] of ['a', 'b', 'c', 'd'].entries()) {
			const lostAt = index * second;
			guard.onConnectionLost(other, createServer({id}), lostAt);
			guard.onServerResponded(createServer({id}), lostAt + 300);
		}

		expect(guard.isBlocked(other, 4 * second)).toEqual(false);
	});

	it('is suspected though the server responds after a restart', () => {
		const guard = createGuard();
		for (const [index, id] of ['a', 'b', 'c'].entries()) {
			const lostAt = index * 5 * second;
			guard.onConnectionLost(deadly, createServer({id}), lostAt);
			guard.onServerResponded(createServer({id}), lostAt + 3 * second);
		}

		expect(guard.isBlocked(deadly, 15 * second)).toEqual(true);
	});

	it('of another customer, or with another fingerprint, is another request', () => {
		const identities = new Set([
			createRequestIdentity('a', 'school'),
			createRequestIdentity('a', 'salon'),
			createRequestIdentity('a', undefined),
			createRequestIdentity('b', 'school'),
		]);
		expect(identities.size).toEqual(4);
	});
});

describe('the report to other hosts', () => {
	it('has each crash once', () => {
		const guard = createGuard();
		crash(guard, [deadly], ['a', 'b', 'c']);
		const {crashes} = guard.createReport(500);
		expect(crashes!.length).toEqual(3);
	});

	it('has the most suspected requests first, whatever else was lost', () => {
		const guard = createGuard();
		crash(guard, [deadly], ['a', 'b']);
		for (let number = 0; number < 200; number++) {
			const identity = createRequestIdentity(String(number), 'school');
			crash(guard, [identity], ['c'], number + 10);
		}

		const crashes = guard.createReport(500).crashes!;
		const identities = crashes.map(([identity]) => identity);
		expect(identities.slice(0, 2)).toEqual([deadly, deadly]);
		expect(identities).toInclude(createRequestIdentity('199', 'school'));
	});
});

describe('the memory for requests that were at crashed servers', () => {
	it('is bounded, and keeps a blocked one, when a caller sends many different ones', () => {
		const guard = createGuard();
		crash(guard, [deadly], ['a', 'b', 'c']);
		for (let number = 0; number < 1_000_000; number++) {
			const identity = createRequestIdentity(String(number), 'school');
			const server = createServer({id: String(number % 1000)});
			guard.onConnectionLost(identity, server, 10);
		}

		expect(guard.suspectCount).toBeLessThanOrEqual(512);
		expect(guard.isBlocked(deadly, 100)).toEqual(true);
		const {crashes} = guard.createReport(100);
		expect(crashes!.length).toBeLessThanOrEqual(24);
		guard.onTick(2 * minute);
		expect(guard.suspectCount).toEqual(0);
	});
});
