import prand from 'pure-rand';
import type {KernelEvent} from '@parsleyvale/kernel';
import type {EntryHost} from '@parsleyvale/shared';
import type {FleetProfile} from './routing-scenarios.js';

export const hostCount = 10;

/** Creates ten hosts, distributed round-robin over regions and failure domains. */
export function createHosts(profile: FleetProfile): EntryHost[] {
	return Array.from({length: hostCount}, (_, index) => {
		const region = profile.regions[index % profile.regions.length]!;
		const isFirstDomain =
			index % (2 * profile.regions.length) < profile.regions.length;
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

export function createArrival(requestId: string): KernelEvent {
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

/** Creates a deterministic generator of uniform numbers in [0, 1) for a seed. */
export function createRandom(seed: number): () => number {
	const generator = prand.xoroshiro128plus(seed);
	return () => generator.unsafeNext() / 2 ** 32 + 0.5;
}
