import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Shift} from '@parsleyvale/shared';
import {ShiftPacer} from '../src/shifts/shift-pacer.js';

const shift: Shift = {
	name: 'to-sin',
	pool: 'reader-desk',
	from: 'tpe',
	to: 'sin',
	share: 0.5,
	capPerSecond: 10,
	capBurst: 5,
	rampMs: 10_000,
	state: 'running',
};

function createPacer(): ShiftPacer {
	return new ShiftPacer({
		shift,
		baseline: {serviceTime: 20, failureRate: 0},
		initialShare: 0,
		now: 0,
	});
}

function addOutcomes(
	pacer: ShiftPacer,
	count: number,
	failures: number,
	serviceTime: number,
): void {
	for (let index = 0; index < count; index++) {
		pacer.onOutcome(index < failures, serviceTime);
	}
}

describe('shift pacer', () => {
	it('increases the share along the ramp', () => {
		const pacer = createPacer();
		expect([0, 5000, 10_000, 20_000].map((now) => pacer.getShare(now))).toEqual(
			[0, 0.25, 0.5, 0.5],
		);
	});

	it('pauses when the target fails and resumes at half of the ramp progress', () => {
		const pacer = createPacer();
		addOutcomes(pacer, 20, 2, 20);
		expect(pacer.updatePace(10_000)).toEqual('paused');
		expect(pacer.getShare(12_000)).toEqual(0);
		expect(pacer.updatePace(19_999)).toEqual(undefined);
		expect(pacer.updatePace(20_000)).toEqual('resumed');
		expect(pacer.getShare(20_000)).toEqual(0.25);
	});

	it('pauses when the target slows down', () => {
		const pacer = createPacer();
		addOutcomes(pacer, 20, 0, 36);
		expect(pacer.updatePace(10_000)).toEqual('paused');
	});

	it('does not pause within the tolerance or with too few samples', () => {
		const pacer = createPacer();
		addOutcomes(pacer, 19, 19, 500);
		expect(pacer.updatePace(1000)).toEqual(undefined);
		const steady = createPacer();
		addOutcomes(steady, 20, 1, 34);
		expect(steady.updatePace(1000)).toEqual(undefined);
	});

	it('continues from the share that the previous version had reached', () => {
		const pacer = new ShiftPacer({
			shift,
			baseline: {serviceTime: undefined, failureRate: undefined},
			initialShare: 0.1,
			now: 0,
		});
		expect(pacer.getShare(0)).toEqual(0.1);
	});
});
