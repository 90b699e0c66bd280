type NamedObject = {readonly name: string};

/** Replaces the object of the same name in a copy of a list, or appends it. */
export function upsertByName<Item extends NamedObject>(
	objects: readonly Item[],
	object: Item,
): Item[] {
	const index = objects.findIndex(({name}) => name === object.name);
	return index === -1 ? [...objects, object] : objects.with(index, object);
}

/** Returns a copy of a list without the object of this name. */
export function removeByName<Item extends NamedObject>(
	objects: readonly Item[],
	name: string,
): Item[] {
	return objects.filter((object) => object.name !== name);
}

export function findByName<Item extends NamedObject>(
	objects: readonly Item[],
	name: string,
): Item | undefined {
	return objects.find((object) => object.name === name);
}
