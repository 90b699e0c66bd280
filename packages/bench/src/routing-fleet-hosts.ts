import prand from 'pure-rand';
import type {KernelEvent} from '@parsleyvale/kernel';
import type {EntryHost} from '@parsleyvale/shared';
import type {FleetSize} from './routing-scenarios.js';

export const hostCount = 10;

/** Ten hosts, in turn in each region and failure domain. */
export function listHosts(size: FleetSize): EntryHost[] {
	return Array.from({length: hostCount}, (_, index) => {
		const region = size.regions[index % size.regions.length]!;
		const isFirstDomain =
			index % (2 * size.regions.length) < size.regions.length;
		return {
			name: `host-${index}`,
			incarnation: '1',
			region,
			failureDomain: `${region}-${isFirstDomain ? 'a' : 'b'}`,
			callers: {address: '127.0.0.1', port: 1},
			peers: {address: '127.0.0.1', port: 2},
			leaving: false,
		};
	});
}

export function toArrival(requestId: string): KernelEvent {
	return {
		type: 'request-arrived',
		requestId,
		method: 'GET',
		path: '/',
		keyHash: undefined,
		callerAddress: '127.0.0.1',
		idempotencyKey: undefined,
		fingerprint: '',
		bodyBytes: 0,
		deadline: undefined,
	};
}

/** Uniform numbers that a seed decides. */
export function createRandom(seed: number): () => number {
	const generator = prand.xoroshiro128plus(seed);
	return () => generator.unsafeNext() / 2 ** 32 + 0.5;
}
