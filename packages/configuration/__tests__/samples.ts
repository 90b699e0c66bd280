import {configurationSchema, type Configuration} from '@parsleyvale/shared';
import {toHash} from './fleet.js';

export const keyNames = ['key-0', 'key-1', 'key-2', 'key-3'] as const;
export const keyHashes = keyNames.map((name) => toHash(name));

/** A valid configuration; variants differ in the customer's rate. */
export function createSample(variant: number): Configuration {
	return configurationSchema.parse({
		regions: [
			{name: 'tpe', failureDomains: ['tpe-a', 'tpe-b']},
			{name: 'sin', failureDomains: ['sin-a']},
		],
		links: [
			{
				name: 'tpe-sin',
				between: ['tpe', 'sin'],
				delayMs: 12,
				bytesPerSecond: 1e6,
			},
		],
		customers: [{name: 'hanlin', ratePerSecond: 10 + variant, burst: 20}],
		keys: keyNames.map((name) => ({
			name,
			customer: 'hanlin',
			hash: toHash(name),
		})),
	});
}
