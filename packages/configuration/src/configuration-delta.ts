import {createHash} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
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

function computeDigest(configuration: Configuration): string {
	return createHash('sha256')
		.update(JSON.stringify(configuration))
		.digest('base64url');
}

function mergeSection(
	before: readonly NamedObject[],
	delta: SectionDelta,
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

function computeSection(
	before: readonly NamedObject[],
	after: readonly NamedObject[],
): SectionDelta {
	const old = new Map(before.map((object) => [object.name, object]));
	const names = new Set(after.map((object) => object.name));
	return {
		removed: before
			.map((object) => object.name)
			.filter((name) => !names.has(name)),
		set: after.filter(
			(object) => !isDeepStrictEqual(old.get(object.name), object),
		),
	};
}

/**
 * What has to be sent to a host that has `before` so that it has `after`.
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
 * The configuration that a delta leads to; undefined when it does not start
 * from `before` or does not give the whole that its sender had.
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

	const merged: Record<string, NamedObject[]> = createEmptyConfiguration();
	for (const name of sectionNames) {
		const section = delta.sections[name];
		const old = before.configuration[name];
		merged[name] = section === undefined ? old : mergeSection(old, section);
	}

	const parsed = configurationSchema.safeParse(merged);
	if (!parsed.success || computeDigest(parsed.data) !== delta.digest) {
		return undefined;
	}

	return {
		version: delta.version,
		operationId: delta.operationId,
		configuration: parsed.data,
	};
}
