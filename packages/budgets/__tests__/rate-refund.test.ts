import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RateHolding} from '../src/rate-holding.js';
import {RootShares} from '../src/root-shares.js';
import {allSafeguards} from '../src/safeguards.js';
import {totalShareUnits} from '../src/units.js';

const spec = {
	kind: 'rate',
	id: 'customer/a',
	perSecond: 10,
	burst: 10,
} as const;

/** Creates a bucket with the whole budget that is full at 5 s. */
function createFullHolding(): RateHolding {
	const root = new RootShares(allSafeguards);
	root.setEntry(
		{
			id: 'e',
			from: 0,
			to: totalShareUnits,
			epoch: 1,
			leaseExpiresAt: 1e9,
			promiseExpiresAt: 1e9,
			takenOverAt: undefined,
		},
		0,
	);
	const holding = new RateHolding(spec, root, allSafeguards, 0);
	expect(holding.getAvailableAmount(5000)).toEqual(10);
	return holding;
}

describe('refund of a rate budget', () => {
	it('refunds a token if the bucket has not been full since the take', () => {
		const holding = createFullHolding();
		holding.take(5, 5000);
		holding.release(1, 5100, 5000);
		expect(holding.getAvailableAmount(5100)).toEqual(6);
	});

	it('refunds nothing if the bucket has been full since the take', () => {
		const holding = createFullHolding();
		holding.take(10, 5000);
		expect(holding.getAvailableAmount(8000)).toEqual(10);
		holding.take(10, 8000);
		holding.release(10, 8001, 5000);
		expect(holding.getAvailableAmount(8001)).toEqual(0);
	});
});
