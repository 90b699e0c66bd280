/** A state of an object. A deleted object keeps its version number. */
export type ObjectState = {
	readonly version: number;
	/** JSON text of the value; undefined when there is no object. */
	readonly text: string | undefined;
};

export type ChangeResult =
	| {readonly kind: 'changed'; readonly version: number}
	| {readonly kind: 'conflict'; readonly version: number};

export type ObjectListing = {readonly name: string; readonly version: number};

type Entry = {
	current: ObjectState;
	previous: ObjectState;
};

const absent: ObjectState = {version: 0, text: undefined};

/**
 * Objects by name, changed by compare-and-set. Versions of an object rise
 * also when it is deleted and created again.
 */
export class StoredObjects {
	readonly #entries = new Map<string, Entry>();

	get(name: string): ObjectState {
		return this.#entries.get(name)?.current ?? absent;
	}

	/** The state before the last change. */
	getPrevious(name: string): ObjectState {
		return this.#entries.get(name)?.previous ?? absent;
	}

	/** The objects whose names start with a prefix, in the order of names. */
	list(prefix: string): ObjectListing[] {
		const listings: ObjectListing[] = [];
		for (const [name, {current}] of this.#entries) {
			if (current.text !== undefined && name.startsWith(prefix)) {
				listings.push({name, version: current.version});
			}
		}

		return listings.sort((a, b) => (a.name < b.name ? -1 : 1));
	}

	/** Sets or, without a text, deletes an object at its expected version. */
	update(
		name: string,
		expectedVersion: number,
		text: string | undefined,
	): ChangeResult {
		const current = this.get(name);
		const seen = current.text === undefined ? 0 : current.version;
		if (seen !== expectedVersion) {
			return {kind: 'conflict', version: seen};
		}

		const version = current.version + 1;
		this.#entries.set(name, {current: {version, text}, previous: current});
		return {kind: 'changed', version};
	}
}
