import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Drain, Shift} from '@parsleyvale/shared';
import {resolveShiftConflicts} from '../src/shifts/shift-conflicts.js';
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

const outbound = createShift('a-there', 'tpe', 'sin');
const inbound = createShift('b-back', 'sin', 'tpe');
const drain: Drain = {
	name: 'sin-out',
	target: {kind: 'region', name: 'sin'},
	state: 'running',
};

describe('shift conflicts', () => {
	it('activates the first by name of two opposite shifts', () => {
		const resolved = resolveShiftConflicts(
			createTestConfiguration({shifts: [inbound, outbound]}),
		);
		expect(resolved.active).toEqual([outbound]);
		expect(resolved.conflicts).toEqual([
			{shift: inbound, reason: 'opposite-shift', by: 'a-there'},
		]);
	});

	it('deactivates shifts from and to a drained region', () => {
		const resolved = resolveShiftConflicts(
			createTestConfiguration({shifts: [outbound, inbound], drains: [drain]}),
		);
		expect(resolved.active).toEqual([]);
		expect(resolved.conflicts.map(({reason, by}) => [reason, by])).toEqual([
			['drained-target', 'sin-out'],
			['drained-source', 'sin-out'],
		]);
	});

	it('ignores shifts that are paused or stopped', () => {
		const paused: Shift = {...outbound, state: 'paused'};
		const resolved = resolveShiftConflicts(
			createTestConfiguration({shifts: [paused, inbound]}),
		);
		expect(resolved.active).toEqual([inbound]);
	});
});
