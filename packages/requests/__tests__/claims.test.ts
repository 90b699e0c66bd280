import {describe, it} from 'node:test';
import {expect} from 'earl';
import {toKeyPrefix} from '../src/index.js';
import {claimRetention, claimTimeout, ownedKeyLifetime} from '../src/limits.js';
import {Fleet, type FleetOptions} from './fleet.js';

const answered = {isExecuted: true, repeatable: false};
const purchase = {
	path: '/purchases',
	keyHash: 'key:lesson',
	idempotencyKey: 'a',
};

function createFleet(safeguards: FleetOptions['safeguards'] = {}): Fleet {
	return new Fleet({hosts: 2, safeguards});
}

function answerAll(fleet: Fleet): void {
	while (fleet.calls.length > 0) {
		fleet.answerStore(0, 'done');
	}

	while (fleet.messages.length > 0) {
		fleet.deliverPeer(0, 1);
	}
}

/** Sends a purchase that runs and is answered. */
function runPurchase(fleet: Fleet): void {
	fleet.send(0, purchase);
	answerAll(fleet);
	fleet.endAttempt(0, 'answered', answered);
	answerAll(fleet);
}

/** The kind of the repeat at a host, or what it waits for. */
function findKindOfRepeat(
	fleet: Fleet,
	hostIndex: number,
	request: Parameters<Fleet['send']>[1] = purchase,
): string {
	const before = fleet.attempts.length;
	const requestId = fleet.send(hostIndex, request);
	answerAll(fleet);
	const seen = [...fleet.oracle.requests].find(
		({arrival}) => arrival.requestId === requestId,
	);
	const state = fleet.attempts.length > before ? 'sent' : 'waits';
	return seen?.ends === 1 ? (seen.kind ?? 'answered') : state;
}

describe('claims', () => {
	it('tell a repeat at another host that the request was answered', () => {
		const fleet = createFleet();
		runPurchase(fleet);
		expect(findKindOfRepeat(fleet, 1)).toEqual('duplicate-completed');
	});

	it('tell a repeat side by side that the request is running', () => {
		const fleet = createFleet();
		fleet.send(0, purchase);
		answerAll(fleet);
		expect(findKindOfRepeat(fleet, 1)).toEqual('duplicate-in-progress');
		expect(findKindOfRepeat(fleet, 0)).toEqual('duplicate-in-progress');
	});

	it('tell that the outcome is unknown when the first host was killed', () => {
		const fleet = createFleet();
		fleet.send(0, purchase);
		answerAll(fleet);
		fleet.replaceHost(0);
		fleet.advance(60_000);
		expect(findKindOfRepeat(fleet, 1)).toEqual('outcome-unknown');
		expect(findKindOfRepeat(fleet, 0)).toEqual('outcome-unknown');
	});

	it('refuse another request under the same key', () => {
		const fleet = createFleet();
		runPurchase(fleet);
		const other = {...purchase, fingerprint: 'other'};
		expect(findKindOfRepeat(fleet, 1, other)).toEqual('idempotency-key-reused');
	});

	it('are scoped to the customer, and on open routes to the address', () => {
		const school = {...purchase, keyHash: 'key:school'};
		const report = {...purchase, path: '/reports'};
		const elsewhere = {...report, callerAddress: '10.0.0.2'};
		const fleet = createFleet();
		runPurchase(fleet);
		expect(findKindOfRepeat(fleet, 1, school)).toEqual('sent');
		expect(findKindOfRepeat(fleet, 1, report)).toEqual('sent');
		expect(findKindOfRepeat(fleet, 0, elsewhere)).toEqual('sent');
		const unscoped = createFleet({scopesClaims: false});
		runPurchase(unscoped);
		expect(findKindOfRepeat(unscoped, 1, school)).toEqual(
			'duplicate-completed',
		);
	});

	it('refuse as not run while the store is down, and work again after', () => {
		const fleet = createFleet();
		fleet.isStoreDown = true;
		expect(findKindOfRepeat(fleet, 0)).toEqual('waits');
		fleet.advance(claimTimeout);
		expect([...fleet.oracle.requests].map(({kind}) => kind)).toEqual([
			'claim-unavailable' as never,
		]);
		fleet.isStoreDown = false;
		expect(findKindOfRepeat(fleet, 1)).toEqual('sent');
	});

	it('given up while a write was on its way do not come into force late', () => {
		const fleet = createFleet();
		fleet.send(0, purchase);
		fleet.answerStore(0, 'late');
		fleet.cancelRequest(0);
		answerAll(fleet);
		fleet.store.applyLate();
		expect(findKindOfRepeat(fleet, 1)).toEqual('sent');
	});

	it('that cannot be read are not taken for a grant', () => {
		const fleet = createFleet();
		runPurchase(fleet);
		const [name] = fleet.store.objects.keys();
		fleet.store.objects.set(name!, {version: 7, value: {holder: 'nobody'}});
		expect(findKindOfRepeat(fleet, 1)).toEqual('claim-unavailable');
	});

	it('are removed when their time is over, and not before', () => {
		const fleet = createFleet();
		runPurchase(fleet);
		fleet.advance(claimRetention - 1);
		answerAll(fleet);
		expect(findKindOfRepeat(fleet, 1)).toEqual('duplicate-completed');
		fleet.advance(1);
		answerAll(fleet);
		const values = [...fleet.store.objects.values()].map(({value}) => value);
		expect(values).toEqual([null]);
	});
});

describe('claims on keys that name a host', () => {
	const [first] = createFleet().identities;
	const named = {...purchase, idempotencyKey: `${toKeyPrefix(first!, 0)}a`};

	it('work at every host while the store is down, once', () => {
		const fleet = createFleet();
		fleet.isStoreDown = true;
		expect(findKindOfRepeat(fleet, 1, named)).toEqual('sent');
		expect(findKindOfRepeat(fleet, 0, named)).toEqual('duplicate-in-progress');
		fleet.endAttempt(0, 'answered', answered);
		answerAll(fleet);
		expect(findKindOfRepeat(fleet, 0, named)).toEqual('duplicate-completed');
		expect(findKindOfRepeat(fleet, 1, named)).toEqual('duplicate-completed');
		const other = {...named, fingerprint: 'other'};
		expect(findKindOfRepeat(fleet, 1, other)).toEqual('idempotency-key-reused');
	});

	it('are free again when no server took the request', () => {
		const fleet = createFleet();
		fleet.hosts[1]!.router.hasServer = false;
		expect(findKindOfRepeat(fleet, 1, named)).toEqual('no-server');
		expect(findKindOfRepeat(fleet, 0, named)).toEqual('sent');
	});

	it('have an unknown outcome for good when the host is gone', () => {
		const fleet = createFleet();
		fleet.send(0, named);
		fleet.replaceHost(0);
		expect(findKindOfRepeat(fleet, 0, named)).toEqual('outcome-unknown');
		expect(findKindOfRepeat(fleet, 1, named)).toEqual('outcome-unknown');
	});

	it('are refused as not run while the host is frozen, and not run later', () => {
		const fleet = createFleet();
		fleet.setFrozen(0, true);
		const requestId = fleet.send(1, named);
		answerAll(fleet);
		fleet.advance(claimTimeout);
		const [seen] = fleet.oracle.requests;
		expect([seen?.arrival.requestId, seen?.kind]).toEqual([
			requestId,
			'claim-unavailable',
		]);
		fleet.setFrozen(0, false);
		answerAll(fleet);
		expect(fleet.attempts.length).toEqual(0);
		expect(findKindOfRepeat(fleet, 0, named)).toEqual('sent');
	});

	const repeatLater = (refusesOldKeys: boolean): string[] => {
		const fleet = createFleet({refusesOldKeys});
		fleet.send(0, named);
		fleet.endAttempt(0, 'answered', answered);
		fleet.advance(ownedKeyLifetime - 1);
		const before = findKindOfRepeat(fleet, 1, named);
		fleet.advance(1);
		return [before, findKindOfRepeat(fleet, 1, named)];
	};

	it('are refused for good when their host has forgotten them', () => {
		expect(repeatLater(true)).toEqual([
			'duplicate-completed',
			'outcome-unknown',
		]);
		expect(repeatLater(false)).toEqual(['duplicate-completed', 'sent']);
	});

	it('are not granted before they can have been issued', () => {
		const fleet = createFleet();
		const idempotencyKey = `${toKeyPrefix(first!, 5)}a`;
		const early = {...named, idempotencyKey};
		expect(findKindOfRepeat(fleet, 1, early)).toEqual('outcome-unknown');
	});
});
