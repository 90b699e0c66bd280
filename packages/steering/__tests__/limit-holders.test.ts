import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {selectHolders, type HolderCandidate} from '../src/limit-holders.js';

const limit = {name: 'server-1', burst: 6};

function createCandidates(demands: readonly number[]): HolderCandidate[] {
	return demands.map((demand, index) => ({
		name: `host-${index}`,
		demand,
		isActive: true,
	}));
}

function selectNames(candidates: readonly HolderCandidate[]): string[] {
	return selectHolders(limit, candidates)
		.map(({name}) => name)
		.sort();
}

describe('the hosts that share a limit', () => {
	it('are the same on every host, and at most half as many as tokens', () => {
		fc.assert(
			fc.property(
				fc.array(fc.double({min: 0, max: 5, noNaN: true}), {
					minLength: 1,
					maxLength: 60,
				}),
				fc.nat(59),
				(demands, shift) => {
					const candidates = createCandidates(demands);
					const rotated = [
						...candidates.slice(shift),
						...candidates.slice(0, shift),
					];
					const selected = selectNames(candidates);
					expect(selectNames(rotated)).toEqual(selected);
					expect(selected.length).toBeLessThanOrEqual(3);
				},
			),
			{seed: 11, numRuns: 200},
		);
	});

	it('have demand, if any host has', () => {
		const candidates = createCandidates([0, 0, 0.3, 0, 0, 0, 0, 0]);
		expect(selectNames(candidates)).toEqual(['host-2']);
	});

	it('are more often those with more demand', () => {
		const candidates = createCandidates([
			...Array.from({length: 20}).fill(0.1),
			5,
		] as number[]);
		let selections = 0;
		for (let index = 0; index < 100; index++) {
			const holders = selectHolders(
				{name: `server-${index}`, burst: 2},
				candidates,
			);
			selections += holders.some(({name}) => name === 'host-20') ? 1 : 0;
		}

		expect(selections).toBeGreaterThan(50);
	});

	it('have requests, if there is no demand', () => {
		const candidates = createCandidates([0, 0, 0, 0]).map(
			(candidate, index) => ({
				...candidate,
				isActive: index === 3,
			}),
		);
		expect(selectNames(candidates)).toEqual(['host-3']);
	});
});
