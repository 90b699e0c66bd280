import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Drain} from '@parsleyvale/shared';
import {checkDrain} from '../src/index.js';
import {createTestConfiguration} from './support/test-configuration.js';

// Three regions with four servers of two slots each: eight slots per region.
const configuration = createTestConfiguration();
const pool = 'reader-desk';
// Equal to the round trip of 24 ms, so a remote request holds its slot twice as
// long.
const slotHoldDuration = 24;

function createDrain(target: Drain['target']): Drain {
	return {name: 'planned', target, state: 'running'};
}

describe('checkDrain', () => {
	const region = createDrain({kind: 'region', name: 'sin'});

	it('accepts a drain whose load fits elsewhere', () => {
		const load = [{pool, region: 'sin', inFlight: 8, slotHoldDuration}];
		expect(checkDrain(configuration, region, load)).toEqual({kind: 'fits'});
	});

	it('paces a drain that fits only partly', () => {
		const load = [{pool, region: 'sin', inFlight: 9, slotHoldDuration}];
		expect(checkDrain(configuration, region, load)).toEqual({
			kind: 'pace',
			drainable: ['sin-a-0', 'sin-a-1', 'sin-b-0'],
			deferred: ['sin-b-1'],
			shortfalls: [{pool, missingSlots: 2, freeSlots: 16, isLastServer: false}],
		});
	});

	it('refuses a drain if no server can be drained', () => {
		const load = [
			{pool, region: 'tpe', inFlight: 8, slotHoldDuration},
			{pool, region: 'sin', inFlight: 8, slotHoldDuration},
			{pool, region: 'fra', inFlight: 8, slotHoldDuration},
		];
		expect(checkDrain(configuration, region, load)).toEqual({
			kind: 'refuse',
			shortfalls: [{pool, missingSlots: 16, freeSlots: 0, isLastServer: false}],
		});
	});

	it('excludes headroom and running drains from the capacity', () => {
		const constrained = createTestConfiguration({
			headroom: 0.25,
			drains: [createDrain({kind: 'region', name: 'fra'})],
		});
		const drain = createDrain({
			kind: 'failure-domain',
			region: 'tpe',
			name: 'tpe-a',
		});
		// Three requests stay; each of the others needs two of the six slots of
		// sin.
		const kinds = [6, 7].map((inFlight) => {
			const load = [{pool, region: 'tpe', inFlight, slotHoldDuration}];
			return checkDrain(constrained, drain, load).kind;
		});
		expect(kinds).toEqual(['fits', 'pace']);
	});

	it('never drains the last server of a pool, even without load', () => {
		const almostDrained = createTestConfiguration({
			drains: [
				createDrain({kind: 'region', name: 'fra'}),
				createDrain({kind: 'region', name: 'tpe'}),
			],
		});
		const result = checkDrain(almostDrained, region, []);
		expect(result.kind).toEqual('pace');
		expect(result.kind === 'pace' && result.deferred).toEqual(['sin-b-1']);
	});
});
