type Named = {readonly name: string};

/** A list with one object set: in its old place, or at the end. */
export function setNamed<Item extends Named>(
	objects: readonly Item[],
	object: Item,
): Item[] {
	const index = objects.findIndex(({name}) => name === object.name);
	return index === -1 ? [...objects, object] : objects.with(index, object);
}

/** A list without the object of a name. */
export function removeNamed<Item extends Named>(
	objects: readonly Item[],
	name: string,
): Item[] {
	return objects.filter((object) => object.name !== name);
}

export function findNamed<Item extends Named>(
	objects: readonly Item[],
	name: string,
): Item | undefined {
	return objects.find((object) => object.name === name);
}
