import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Drain, Shift} from '@parsleyvale/shared';
import {sortShifts} from '../src/shifts/shift-order.js';
import {createTestConfiguration} from './support/test-configuration.js';

function createShift(name: string, from: string, to: string): Shift {
	return {
		name,
		pool: 'reader-desk',
		from,
		to,
		share: 0.5,
		capPerSecond: 10,
		capBurst: 5,
		rampMs: 0,
		state: 'running',
	};
}

const there = createShift('a-there', 'tpe', 'sin');
const back = createShift('b-back', 'sin', 'tpe');
const drain: Drain = {
	name: 'sin-out',
	target: {kind: 'region', name: 'sin'},
	state: 'running',
};

describe('order of shifts and drains', () => {
	it('lets the first by name of two opposite shifts hold', () => {
		const order = sortShifts(createTestConfiguration({shifts: [back, there]}));
		expect(order.active).toEqual([there]);
		expect(order.suspended).toEqual([
			{shift: back, reason: 'opposite-shift', by: 'a-there'},
		]);
	});

	it('puts a drain of a region before every shift of it', () => {
		const order = sortShifts(
			createTestConfiguration({shifts: [there, back], drains: [drain]}),
		);
		expect(order.active).toEqual([]);
		expect(order.suspended.map(({reason, by}) => [reason, by])).toEqual([
			['drained-target', 'sin-out'],
			['drained-source', 'sin-out'],
		]);
	});

	it('passes over shifts that are paused or stopped', () => {
		const paused: Shift = {...there, state: 'paused'};
		const order = sortShifts(createTestConfiguration({shifts: [paused, back]}));
		expect(order.active).toEqual([back]);
	});
});
