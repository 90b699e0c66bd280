import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RateHolding} from '../src/rate-holding.js';
import {RootShare} from '../src/root-share.js';
import {allSafeguards} from '../src/safeguards.js';
import {shareUnits} from '../src/units.js';

const spec = {
	kind: 'rate',
	id: 'customer/a',
	perSecond: 10,
	burst: 10,
} as const;

/** A full bucket that holds the whole budget, at 5 s. */
function createFull(): RateHolding {
	const root = new RootShare(allSafeguards);
	root.setEntry(
		{
			id: 'e',
			from: 0,
			to: shareUnits,
			epoch: 1,
			hardEnd: 1e9,
			softEnd: 1e9,
			takenOverAt: undefined,
		},
		0,
	);
	const holding = new RateHolding(spec, root, allSafeguards, 0);
	expect(holding.getAvailable(5000)).toEqual(10);
	return holding;
}

describe('refund of a rate', () => {
	it('gives a token back while the bucket stayed below full', () => {
		const holding = createFull();
		holding.take(5, 5000);
		holding.giveBack(1, 5100, 5000);
		expect(holding.getAvailable(5100)).toEqual(6);
	});

	it('gives nothing back once the bucket was full since the take', () => {
		const holding = createFull();
		holding.take(10, 5000);
		expect(holding.getAvailable(8000)).toEqual(10);
		holding.take(10, 8000);
		holding.giveBack(10, 8001, 5000);
		expect(holding.getAvailable(8001)).toEqual(0);
	});
});
