import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Drain} from '@parsleyvale/shared';
import {checkDrain} from '../src/index.js';
import {createTestConfiguration} from './support/test-configuration.js';

// Three regions of four servers with two slots each: eight slots a region.
const configuration = createTestConfiguration();
const pool = 'reader-desk';
// A way of 24 ms there and back doubles how long a request holds its slot.
const holdTime = 24;

function createDrain(target: Drain['target']): Drain {
	return {name: 'planned', target, state: 'running'};
}

describe('check of a drain', () => {
	const region = createDrain({kind: 'region', name: 'sin'});

	it('lets a drain through whose load fits elsewhere', () => {
		const load = [{pool, region: 'sin', inFlight: 8, holdTime}];
		expect(checkDrain(configuration, region, load)).toEqual({kind: 'fits'});
	});

	it('paces a drain of which a part fits', () => {
		const load = [{pool, region: 'sin', inFlight: 9, holdTime}];
		expect(checkDrain(configuration, region, load)).toEqual({
			kind: 'pace',
			now: ['sin-a-0', 'sin-a-1', 'sin-b-0'],
			later: ['sin-b-1'],
			shortfalls: [{pool, missing: 2, roomLeft: 16, isLast: false}],
		});
	});

	it('refuses a drain when nothing of it fits', () => {
		const load = [
			{pool, region: 'tpe', inFlight: 8, holdTime},
			{pool, region: 'sin', inFlight: 8, holdTime},
			{pool, region: 'fra', inFlight: 8, holdTime},
		];
		expect(checkDrain(configuration, region, load)).toEqual({
			kind: 'refuse',
			shortfalls: [{pool, missing: 16, roomLeft: 0, isLast: false}],
		});
	});

	it('counts headroom and drains that run already as taken', () => {
		const tight = createTestConfiguration({
			headroom: 0.25,
			drains: [createDrain({kind: 'region', name: 'fra'})],
		});
		const drain = createDrain({
			kind: 'failure-domain',
			region: 'tpe',
			name: 'tpe-a',
		});
		// Three stay; each of the others needs two of the six slots of sin.
		const kinds = [6, 7].map((inFlight) => {
			const load = [{pool, region: 'tpe', inFlight, holdTime}];
			return checkDrain(tight, drain, load).kind;
		});
		expect(kinds).toEqual(['fits', 'pace']);
	});

	it('never drains the last server of a pool without load either', () => {
		const rest = createTestConfiguration({
			drains: [
				createDrain({kind: 'region', name: 'fra'}),
				createDrain({kind: 'region', name: 'tpe'}),
			],
		});
		const verdict = checkDrain(rest, region, []);
		expect(verdict.kind).toEqual('pace');
		expect(verdict.kind === 'pace' && verdict.later).toEqual(['sin-b-1']);
	});
});
