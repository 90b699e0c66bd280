import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Safeguards} from '../src/safeguards.js';
import {Fleet} from './fleet.js';

const budgetId = 'customer/lesson';
const burst = 5;

/** A burst waits for room while the bucket fills; then a second one comes. */
function countSent(safeguards: Partial<Safeguards>): number {
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
	budgets.fullAt = fleet.now;
	fleet.advance(1);
	for (let count = 0; count < burst; count++) {
		fleet.send(0, {path: '/entries', keyHash: 'key:lesson'});
	}

	router.slots = 100;
	fleet.deliver(host!, {type: 'room-changed', pool: 'desk'});
	return fleet.attempts.length;
}

describe('rate of a customer', () => {
	it('is counted when a request is sent, however long it waited for room', () => {
		expect(countSent({})).toEqual(burst);
	});

	it('is exceeded without renewing the tokens of what waited', () => {
		expect(countSent({renewsTokens: false})).toEqual(2 * burst);
	});
});
