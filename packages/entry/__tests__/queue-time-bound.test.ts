import {describe, it} from 'node:test';
import {createManualClock} from '@parsleyvale/shared';
import {expect} from 'earl';
import {QueueTimeBound} from '../src/queue-time-bound.js';

function createFixture() {
	const clock = createManualClock(0);
	let suspended = 0;
	const bound = new QueueTimeBound(clock, () => clock.now() + suspended);
	return {
		bound,
		/** Lets the time pass in which the process runs, with its ticks. */
		run(duration: number) {
			for (let passed = 0; passed < duration; passed += 50) {
				clock.advance(50);
				bound.update();
			}
		},
		freeze(duration: number) {
			clock.advance(duration);
		},
		suspend(duration: number) {
			suspended += duration;
		},
	};
}

describe('the time for which a datagram may have been queued', () => {
	it('is short while the process runs', () => {
		const {bound, run} = createFixture();
		run(5000);
		expect(bound.update()).toBeLessThanOrEqual(50);
	});

	it('includes a freeze, for all datagrams that were queued in it', () => {
		const {bound, run, freeze} = createFixture();
		run(1000);
		freeze(4000);
		expect(bound.update()).toEqual(4000);
		expect(bound.update()).toEqual(4000);
		run(500);
		expect(bound.update()).toEqual(4500);
		run(1000);
		expect(bound.update()).toBeLessThanOrEqual(50);
	});

	it('includes both of two freezes in a row', () => {
		const {bound, run, freeze} = createFixture();
		freeze(2000);
		run(100);
		freeze(700);
		expect(bound.update()).toEqual(2800);
	});

	it('includes a suspension of the machine, which the monotonic clock does not show', () => {
		const {bound, run, suspend} = createFixture();
		run(1000);
		suspend(4000);
		expect(bound.update()).toEqual(4000);
	});
});
