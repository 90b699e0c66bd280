import type {Configuration, Drain, Key, Shift} from '@parsleyvale/shared';
import {findNamed, setNamed} from './named-objects.js';

/**
 * The configuration that applying a folder leads to. The folder replaces
 * regions, links, pools, customers and routes. Keys, shifts and drains also
 * come from commands: those in the folder are added or updated by name, all
 * others stay. Applying never undoes a command: a withdrawn key stays
 * withdrawn, and shifts and drains keep their state. Withdrawn keys go with
 * their customer.
 *
 * @example
 * const planned = mergeFolder(inForce.configuration, folder);
 */
export function mergeFolder(
	current: Configuration,
	folder: Configuration,
): Configuration {
	const keys = mergeNamed(current.keys, folder.keys, mergeKey);
	return {
		...folder,
		keys: keys.filter(
			(key) =>
				!key.withdrawn ||
				findNamed(folder.customers, key.customer) !== undefined,
		),
		shifts: mergeNamed(current.shifts, folder.shifts, mergeShift),
		drains: mergeNamed(current.drains, folder.drains, mergeDrain),
	};
}

function mergeNamed<Item extends {readonly name: string}>(
	current: readonly Item[],
	added: readonly Item[],
	mergeObject: (current: Item, added: Item) => Item,
): Item[] {
	let merged = [...current];
	for (const object of added) {
		const other = findNamed(current, object.name);
		merged = setNamed(merged, other ? mergeObject(other, object) : object);
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
