import type {Configuration, Drain, Key, Shift} from '@parsleyvale/shared';
import {findByName, upsertByName} from './named-objects.js';

/**
 * Returns the configuration that results from applying a folder. The folder
 * replaces regions, links, pools, customers and routes. Keys, shifts and drains
 * can also be created by commands: those in the folder are added or updated by
 * name, and all others are kept. Applying never undoes a command: a withdrawn
 * key stays withdrawn, and shifts and drains keep their state. Withdrawn keys
 * are removed together with their customer.
 *
 * @example
 * const proposed = mergeFolder(active.configuration, folder);
 */
export function mergeFolder(
	current: Configuration,
	folder: Configuration,
): Configuration {
	const keys = mergeByName(current.keys, folder.keys, mergeKey);
	return {
		...folder,
		keys: keys.filter(
			(key) =>
				!key.withdrawn ||
				findByName(folder.customers, key.customer) !== undefined,
		),
		shifts: mergeByName(current.shifts, folder.shifts, mergeShift),
		drains: mergeByName(current.drains, folder.drains, mergeDrain),
	};
}

function mergeByName<Item extends {readonly name: string}>(
	current: readonly Item[],
	added: readonly Item[],
	mergeObject: (current: Item, added: Item) => Item,
): Item[] {
	let merged = [...current];
	for (const object of added) {
		const existing = findByName(current, object.name);
		merged = upsertByName(
			merged,
			existing ? mergeObject(existing, object) : object,
		);
	}

	return merged;
}

function mergeKey(current: Key, added: Key): Key {
	return {...added, withdrawn: current.withdrawn || added.withdrawn};
}

function mergeShift(current: Shift, added: Shift): Shift {
	return {...added, state: current.state};
}

function mergeDrain(current: Drain, added: Drain): Drain {
	return {...added, state: current.state};
}
