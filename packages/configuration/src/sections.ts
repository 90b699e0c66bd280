import type {Configuration} from '@parsleyvale/shared';

/** The name of a configuration section, which is a list of named objects. */
export type SectionName = keyof Configuration;

/** @internal */
export const sectionNames: readonly SectionName[] = [
	'regions',
	'links',
	'pools',
	'customers',
	'keys',
	'routes',
	'shifts',
	'drains',
];

/** @internal */
export type NamedObject = {readonly name: string};

/** @internal */
export function createEmptyConfiguration(): Configuration {
	return {
		regions: [],
		links: [],
		pools: [],
		customers: [],
		keys: [],
		routes: [],
		shifts: [],
		drains: [],
	};
}
