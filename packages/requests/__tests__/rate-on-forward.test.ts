import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Safeguards} from '../src/safeguards.js';
import {Fleet} from './fleet.js';

const budgetId = 'customer/lesson';
const burst = 5;

/**
 * Counts the requests forwarded at once when a burst waits for capacity until the
 * bucket has refilled and a second burst arrives. Without new tokens, both bursts
 * are forwarded together and exceed the rate.
 */
function countForwarded(safeguards: Partial<Safeguards>): number {
	const fleet = new Fleet({hosts: 1, safeguards});
	const [host] = fleet.hosts;
	const {budgets, router} = host!;
	router.slots = 0;
	budgets.tokens.set(budgetId, burst);
	for (let count = 0; count < burst; count++) {
		fleet.send(0, {path: '/entries', keyHash: 'key:lesson'});
	}

	fleet.advance(100);
	budgets.tokens.set(budgetId, burst);
	budgets.lastFullAt = fleet.now;
	fleet.advance(1);
	for (let count = 0; count < burst; count++) {
		fleet.send(0, {path: '/entries', keyHash: 'key:lesson'});
	}

	router.slots = 100;
	fleet.deliver(host!, {type: 'room-changed', pool: 'desk'});
	return fleet.attempts.length;
}

describe('customer rate', () => {
	it('applies when a request is forwarded, however long it waited for capacity', () => {
		expect(countForwarded({})).toEqual(burst);
	});

	it('is exceeded when tokens of waiting requests are not renewed', () => {
		expect(countForwarded({renewTokens: false})).toEqual(2 * burst);
	});
});
