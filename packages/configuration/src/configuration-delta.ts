import {createHash} from 'node:crypto';
import {
	configurationSchema,
	type Configuration,
	type VersionedConfiguration,
} from '@parsleyvale/shared';
import type {ConfigurationDelta, SectionDelta} from './messages.js';
import {
	createEmptyConfiguration,
	sectionNames,
	type NamedObject,
} from './sections.js';

const digests = new WeakMap<NamedObject, string>();

/** Cached per object, as versions share unchanged objects. */
function computeObjectDigest(object: NamedObject): string {
	let digest = digests.get(object);
	if (digest === undefined) {
		digest = createHash('sha256')
			.update(JSON.stringify(object))
			.digest('base64url');
		digests.set(object, digest);
	}

	return digest;
}

function computeDigest(configuration: Configuration): string {
	const hash = createHash('sha256');
	for (const name of sectionNames) {
		hash.update(name);
		for (const object of configuration[name]) {
			hash.update(computeObjectDigest(object));
		}
	}

	return hash.digest('base64url');
}

function mergeSection(
	before: readonly NamedObject[],
	delta: {
		readonly removed: readonly string[];
		readonly set: readonly NamedObject[];
	},
): NamedObject[] {
	const merged = new Map(before.map((object) => [object.name, object]));
	for (const name of delta.removed) {
		merged.delete(name);
	}

	for (const object of delta.set) {
		merged.set(object.name, object);
	}

	return [...merged.values()];
}

function isSame(before: NamedObject | undefined, after: NamedObject): boolean {
	return (
		before !== undefined &&
		computeObjectDigest(before) === computeObjectDigest(after)
	);
}

function computeSection(
	before: readonly NamedObject[],
	after: readonly NamedObject[],
): SectionDelta {
	const beforeByName = new Map(before.map((object) => [object.name, object]));
	const names = new Set(after.map((object) => object.name));
	return {
		removed: before
			.map((object) => object.name)
			.filter((name) => !names.has(name)),
		set: after.filter(
			(object) => !isSame(beforeByName.get(object.name), object),
		),
	};
}

/**
 * Computes the changes that turn `before` into `after`.
 *
 * @internal
 */
export function computeDelta(
	before: VersionedConfiguration,
	after: VersionedConfiguration,
): ConfigurationDelta {
	const sections: Record<string, SectionDelta> = {};
	for (const name of sectionNames) {
		const delta = computeSection(
			before.configuration[name],
			after.configuration[name],
		);
		if (delta.removed.length > 0 || delta.set.length > 0) {
			sections[name] = delta;
		}
	}

	return {
		from: before.version,
		version: after.version,
		operationId: after.operationId,
		sections,
		digest: computeDigest(after.configuration),
	};
}

/**
 * Applies a delta to `before`. Returns undefined if the delta has another base
 * version, contains invalid objects, or yields a configuration with another
 * digest than the sender computed.
 *
 * @internal
 */
export function mergeDelta(
	before: VersionedConfiguration,
	delta: ConfigurationDelta,
): VersionedConfiguration | undefined {
	if (before.version !== delta.from) {
		return undefined;
	}

	const changed = configurationSchema.safeParse(
		Object.fromEntries(
			Object.entries(delta.sections).map(([name, {set}]) => [name, set]),
		),
	);
	if (!changed.success) {
		return undefined;
	}

	const merged: Record<string, NamedObject[]> = createEmptyConfiguration();
	for (const name of sectionNames) {
		const removed = delta.sections[name]?.removed ?? [];
		const set = changed.data[name];
		const previous = before.configuration[name];
		const isChanged = removed.length > 0 || set.length > 0;
		merged[name] = isChanged
			? mergeSection(previous, {removed, set})
			: previous;
	}

	// Each object was validated above or when its version was activated.
	const configuration = merged as Configuration;
	if (computeDigest(configuration) !== delta.digest) {
		return undefined;
	}

	return {
		version: delta.version,
		operationId: delta.operationId,
		configuration,
	};
}
