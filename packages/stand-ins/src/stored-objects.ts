/** The state of an object; a deleted object keeps a version number. */
export type ObjectState = {
	readonly version: number;
	/** The value as JSON; undefined if the object does not exist. */
	readonly json: string | undefined;
};

export type UpdateResult =
	| {readonly kind: 'changed'; readonly version: number}
	| {readonly kind: 'conflict'; readonly version: number};

export type ObjectListing = {readonly name: string; readonly version: number};

type Entry = {
	current: ObjectState;
	previous: ObjectState;
};

const absentObject: ObjectState = {version: 0, json: undefined};

/**
 * Objects by name, updated by compare-and-set. The version of an object keeps
 * increasing when it is deleted and created again.
 */
export class StoredObjects {
	readonly #entries = new Map<string, Entry>();

	get(name: string): ObjectState {
		return this.#entries.get(name)?.current ?? absentObject;
	}

	/** The state before the last update. */
	getPrevious(name: string): ObjectState {
		return this.#entries.get(name)?.previous ?? absentObject;
	}

	/** The objects whose names start with a prefix, sorted by name. */
	list(prefix: string): ObjectListing[] {
		const listings: ObjectListing[] = [];
		for (const [name, {current}] of this.#entries) {
			if (current.json !== undefined && name.startsWith(prefix)) {
				listings.push({name, version: current.version});
			}
		}

		return listings.sort((a, b) => (a.name < b.name ? -1 : 1));
	}

	/**
	 * Sets an object, or deletes it if `json` is undefined, provided that it has the
	 * expected version. The version of an object that does not exist is 0.
	 */
	update(
		name: string,
		expectedVersion: number,
		json: string | undefined,
	): UpdateResult {
		const current = this.get(name);
		const currentVersion = current.json === undefined ? 0 : current.version;
		if (currentVersion !== expectedVersion) {
			return {kind: 'conflict', version: currentVersion};
		}

		const version = current.version + 1;
		this.#entries.set(name, {current: {version, json}, previous: current});
		return {kind: 'changed', version};
	}
}
