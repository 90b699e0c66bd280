import {isDeepStrictEqual} from 'node:util';
import type {Configuration} from '@parsleyvale/shared';
import {sectionNames, type NamedObject, type SectionName} from './sections.js';

/** One object that differs between two configurations. */
export type ConfigurationDifference = {
	readonly section: SectionName;
	readonly name: string;
	readonly kind: 'added' | 'removed' | 'changed';
	/** Changed fields; empty unless `kind` is `changed`. */
	readonly fields: readonly string[];
};

function listChangedFields(before: NamedObject, after: NamedObject): string[] {
	const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
	const beforeFields: Record<string, unknown> = before;
	const afterFields: Record<string, unknown> = after;
	return [...fields].filter(
		(field) => !isDeepStrictEqual(beforeFields[field], afterFields[field]),
	);
}

function compareSections(
	section: SectionName,
	before: readonly NamedObject[],
	after: readonly NamedObject[],
): ConfigurationDifference[] {
	const remaining = new Map(before.map((object) => [object.name, object]));
	const differences: ConfigurationDifference[] = [];
	for (const object of after) {
		const other = remaining.get(object.name);
		remaining.delete(object.name);
		const kind = other === undefined ? 'added' : 'changed';
		const fields = other === undefined ? [] : listChangedFields(other, object);
		if (kind === 'added' || fields.length > 0) {
			differences.push({section, name: object.name, kind, fields});
		}
	}

	for (const name of remaining.keys()) {
		differences.push({section, name, kind: 'removed', fields: []});
	}

	return differences;
}

/**
 * Lists the objects that differ between two configurations.
 *
 * @example
 * compareConfigurations(active, proposed).map(formatDifference);
 */
export function compareConfigurations(
	before: Configuration,
	after: Configuration,
): ConfigurationDifference[] {
	return sectionNames.flatMap((section) =>
		compareSections(section, before[section], after[section]),
	);
}

/**
 * Formats a difference as one line of text.
 *
 * @example
 * formatDifference(difference); // '~ customers/hanlin: ratePerSecond'
 */
export function formatDifference(difference: ConfigurationDifference): string {
	const signs = {added: '+', removed: '-', changed: '~'};
	const {kind, section, name, fields} = difference;
	const line = `${signs[kind]} ${section}/${name}`;
	return fields.length === 0 ? line : `${line}: ${fields.join(', ')}`;
}
