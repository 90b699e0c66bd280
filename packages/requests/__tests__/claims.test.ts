import {describe, it} from 'node:test';
import {expect} from 'earl';
import {toHostKeyPrefix} from '../src/index.js';
import {claimRetention, claimTimeout, hostKeyLifetime} from '../src/limits.js';
import {Fleet, type FleetOptions} from './fleet.js';

const executedResult = {isExecuted: true, repeatable: false};
const purchase = {
	path: '/purchases',
	keyHash: 'key:lesson',
	idempotencyKey: 'a',
};

function createFleet(safeguards: FleetOptions['safeguards'] = {}): Fleet {
	return new Fleet({hosts: 2, safeguards});
}

function deliverPending(fleet: Fleet): void {
	while (fleet.calls.length > 0) {
		fleet.answerStore(0, 'done');
	}

	while (fleet.messages.length > 0) {
		fleet.deliverPeer(0, 1);
	}
}

/** Runs a purchase until it is answered. */
function completePurchase(fleet: Fleet): void {
	fleet.send(0, purchase);
	deliverPending(fleet);
	fleet.endAttempt(0, 'answered', executedResult);
	deliverPending(fleet);
}

/** Sends a repeat and returns its error kind, or its state if it has not ended. */
function sendRepeat(
	fleet: Fleet,
	hostIndex: number,
	request: Parameters<Fleet['send']>[1] = purchase,
): string {
	const attemptsBefore = fleet.attempts.length;
	const requestId = fleet.send(hostIndex, request);
	deliverPending(fleet);
	const observed = [...fleet.oracle.requests].find(
		({arrival}) => arrival.requestId === requestId,
	);
	const state = fleet.attempts.length > attemptsBefore ? 'sent' : 'waits';
	return observed?.ends === 1 ? (observed.kind ?? 'answered') : state;
}

describe('claims', () => {
	it('refuse a repeat at another host after the request was answered', () => {
		const fleet = createFleet();
		completePurchase(fleet);
		expect(sendRepeat(fleet, 1)).toEqual('duplicate-completed');
	});

	it('refuse a concurrent repeat while the request is running', () => {
		const fleet = createFleet();
		fleet.send(0, purchase);
		deliverPending(fleet);
		expect(sendRepeat(fleet, 1)).toEqual('duplicate-in-progress');
		expect(sendRepeat(fleet, 0)).toEqual('duplicate-in-progress');
	});

	it('report an unknown outcome after the first host was killed', () => {
		const fleet = createFleet();
		fleet.send(0, purchase);
		deliverPending(fleet);
		fleet.replaceHost(0);
		fleet.advance(60_000);
		expect(sendRepeat(fleet, 1)).toEqual('outcome-unknown');
		expect(sendRepeat(fleet, 0)).toEqual('outcome-unknown');
	});

	it('refuse a different request with the same key', () => {
		const fleet = createFleet();
		completePurchase(fleet);
		const other = {...purchase, fingerprint: 'other'};
		expect(sendRepeat(fleet, 1, other)).toEqual('idempotency-key-reused');
	});

	it('are scoped to the customer, or to the caller address on public routes', () => {
		const school = {...purchase, keyHash: 'key:school'};
		const report = {...purchase, path: '/reports'};
		const otherAddress = {...report, callerAddress: '10.0.0.2'};
		const fleet = createFleet();
		completePurchase(fleet);
		expect(sendRepeat(fleet, 1, school)).toEqual('sent');
		expect(sendRepeat(fleet, 1, report)).toEqual('sent');
		expect(sendRepeat(fleet, 0, otherAddress)).toEqual('sent');
		const unscoped = createFleet({scopeClaims: false});
		completePurchase(unscoped);
		expect(sendRepeat(unscoped, 1, school)).toEqual('duplicate-completed');
	});

	it('time out as not run while the store is down and recover afterwards', () => {
		const fleet = createFleet();
		fleet.isStoreDown = true;
		expect(sendRepeat(fleet, 0)).toEqual('waits');
		fleet.advance(claimTimeout);
		expect([...fleet.oracle.requests].map(({kind}) => kind)).toEqual([
			'claim-unavailable' as never,
		]);
		fleet.isStoreDown = false;
		expect(sendRepeat(fleet, 1)).toEqual('sent');
	});

	it('are not left behind by a delayed write of a released claim', () => {
		const fleet = createFleet();
		fleet.send(0, purchase);
		fleet.answerStore(0, 'late');
		fleet.cancelRequest(0);
		deliverPending(fleet);
		fleet.store.applyDelayedWrites();
		expect(sendRepeat(fleet, 1)).toEqual('sent');
	});

	it('are not granted when the stored object is malformed', () => {
		const fleet = createFleet();
		completePurchase(fleet);
		const [name] = fleet.store.objects.keys();
		fleet.store.objects.set(name!, {version: 7, value: {holder: 'nobody'}});
		expect(sendRepeat(fleet, 1)).toEqual('claim-unavailable');
	});

	it('are removed after the retention period, not before', () => {
		const fleet = createFleet();
		completePurchase(fleet);
		fleet.advance(claimRetention - 1);
		deliverPending(fleet);
		expect(sendRepeat(fleet, 1)).toEqual('duplicate-completed');
		fleet.advance(1);
		deliverPending(fleet);
		const values = [...fleet.store.objects.values()].map(({value}) => value);
		expect(values).toEqual([null]);
	});
});

describe('claims on keys that name a host', () => {
	const [firstHost] = createFleet().identities;
	const hostKeyPurchase = {
		...purchase,
		idempotencyKey: `${toHostKeyPrefix(firstHost!, 0)}a`,
	};

	it('are granted once across hosts while the store is down', () => {
		const fleet = createFleet();
		fleet.isStoreDown = true;
		expect(sendRepeat(fleet, 1, hostKeyPurchase)).toEqual('sent');
		expect(sendRepeat(fleet, 0, hostKeyPurchase)).toEqual(
			'duplicate-in-progress',
		);
		fleet.endAttempt(0, 'answered', executedResult);
		deliverPending(fleet);
		expect(sendRepeat(fleet, 0, hostKeyPurchase)).toEqual(
			'duplicate-completed',
		);
		expect(sendRepeat(fleet, 1, hostKeyPurchase)).toEqual(
			'duplicate-completed',
		);
		const other = {...hostKeyPurchase, fingerprint: 'other'};
		expect(sendRepeat(fleet, 1, other)).toEqual('idempotency-key-reused');
	});

	it('are released when no server accepted the request', () => {
		const fleet = createFleet();
		fleet.hosts[1]!.router.hasServer = false;
		expect(sendRepeat(fleet, 1, hostKeyPurchase)).toEqual('no-server');
		expect(sendRepeat(fleet, 0, hostKeyPurchase)).toEqual('sent');
	});

	it('have an unknown outcome permanently once the host is gone', () => {
		const fleet = createFleet();
		fleet.send(0, hostKeyPurchase);
		fleet.replaceHost(0);
		expect(sendRepeat(fleet, 0, hostKeyPurchase)).toEqual('outcome-unknown');
		expect(sendRepeat(fleet, 1, hostKeyPurchase)).toEqual('outcome-unknown');
	});

	it('time out as not run while the host is frozen, and the request never runs later', () => {
		const fleet = createFleet();
		fleet.setFrozen(0, true);
		const requestId = fleet.send(1, hostKeyPurchase);
		deliverPending(fleet);
		fleet.advance(claimTimeout);
		const [observed] = fleet.oracle.requests;
		expect([observed?.arrival.requestId, observed?.kind]).toEqual([
			requestId,
			'claim-unavailable',
		]);
		fleet.setFrozen(0, false);
		deliverPending(fleet);
		expect(fleet.attempts.length).toEqual(0);
		expect(sendRepeat(fleet, 0, hostKeyPurchase)).toEqual('sent');
	});

	const repeatAroundExpiry = (refusesExpiredKeys: boolean): string[] => {
		const fleet = createFleet({refuseExpiredKeys: refusesExpiredKeys});
		fleet.send(0, hostKeyPurchase);
		fleet.endAttempt(0, 'answered', executedResult);
		fleet.advance(hostKeyLifetime - 1);
		const before = sendRepeat(fleet, 1, hostKeyPurchase);
		fleet.advance(1);
		return [before, sendRepeat(fleet, 1, hostKeyPurchase)];
	};

	it('are refused permanently once their host has removed them', () => {
		expect(repeatAroundExpiry(true)).toEqual([
			'duplicate-completed',
			'outcome-unknown',
		]);
		expect(repeatAroundExpiry(false)).toEqual(['duplicate-completed', 'sent']);
	});

	it('are not granted when issued in the future', () => {
		const fleet = createFleet();
		const idempotencyKey = `${toHostKeyPrefix(firstHost!, 5)}a`;
		const early = {...hostKeyPurchase, idempotencyKey};
		expect(sendRepeat(fleet, 1, early)).toEqual('outcome-unknown');
	});
});
