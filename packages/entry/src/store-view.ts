import type {Clock, Milliseconds} from '@parsleyvale/shared';
import {
	backendServerSchema,
	comparePositions,
	computeHash,
	steeringConfigurationSchema,
	storePositionSchema,
	unreadPosition,
	type BackendServer,
	type SteeringConfiguration,
	type SteeringEvent,
	type SteeringEventOf,
	type StorePosition,
} from '@parsleyvale/steering';
import * as z from 'zod';

/** Changes of the store that one host passes on to another. */
export const storeDeltaSchema = z.object({
	version: z.int(),
	/** Undefined if the requesting host already has this version. */
	configuration: steeringConfigurationSchema.optional(),
	/** Time since the version was last known to be the newest; null: not known. */
	configurationAgeMs: z.number().nullable(),
	/** Position of the servers. */
	position: storePositionSchema,
	/** Servers that changed after the requesting host's position. */
	changed: z.array(backendServerSchema),
	/** Whether `changed` contains all servers, rather than those to merge into the known ones. */
	isWhole: z.boolean(),
	/** Ids of servers that were removed after the requesting host's position. */
	removed: z.array(z.string()),
	/** Checksum of all servers, with which the merged list must agree. */
	checksum: z.int(),
	evacuationsPosition: storePositionSchema,
	evacuated: z.array(z.string()),
});

export type StoreDelta = z.infer<typeof storeDeltaSchema>;

type ServerEntry = {
	readonly server: BackendServer;
	readonly hash: number;
	/** Revision of the list in which this host first saw the entry, in the current era. */
	readonly revision: number;
};

/** Removed servers that are remembered; a host that is further behind gets the whole list. */
const maximumRemovals = 1000;

/** The state of the store as last seen by this host, to be passed on to other hosts. */
export class StoreView {
	readonly #clock: Clock;
	#configuration: SteeringConfiguration | undefined;
	#confirmedAt: Milliseconds | undefined;
	#position = unreadPosition;
	#servers = new Map<string, ServerEntry>();
	/** Ids of removed servers with the revisions of the lists without them, oldest first. */
	readonly #removals = new Map<string, number>();
	/** Revision of the current era from which on all removals are remembered. */
	#removalsKnownSince = Number.POSITIVE_INFINITY;
	#evacuationsPosition = unreadPosition;
	#evacuated: readonly string[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get configuration(): SteeringConfiguration | undefined {
		return this.#configuration;
	}

	get version(): number {
		return this.#configuration?.version ?? -1;
	}

	/** Position of the servers. */
	get position(): StorePosition {
		return this.#position;
	}

	get evacuationsPosition(): StorePosition {
		return this.#evacuationsPosition;
	}

	/** Whether servers have been read, directly or through another host. */
	get hasServers(): boolean {
		return this.#position.revision >= 0;
	}

	get serverCount(): number {
		return this.#servers.size;
	}

	/** Time since the configuration was last known to be the newest. */
	get configurationAge(): Milliseconds | undefined {
		return this.#confirmedAt === undefined
			? undefined
			: this.#clock.now() - this.#confirmedAt;
	}

	/** Applies an event that carries state of the store, read directly or through another host. */
	apply(event: SteeringEvent): void {
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- Other events carry no state of the store.
		switch (event.type) {
			case 'configuration-read': {
				this.#applyConfiguration(event);
				break;
			}

			case 'configuration-confirmed': {
				this.#confirmConfiguration(event.version, event.confirmationAge);
				break;
			}

			case 'fleet-listed': {
				this.#applyFleet(event);
				break;
			}

			default: {
				break;
			}
		}
	}

	/** Creates the delta for a host with a known version and position; undefined: the store has not been read yet. */
	createDelta(
		knownVersion: number,
		known: StorePosition,
	): StoreDelta | undefined {
		if (this.#configuration === undefined || !this.hasServers) {
			return undefined;
		}

		const entries = [...this.#servers.values()];
		const {era} = this.#position;
		const isWhole =
			known.era !== era || known.revision < this.#removalsKnownSince;
		return {
			version: this.version,
			configuration:
				this.version > knownVersion ? this.#configuration : undefined,
			configurationAgeMs: this.configurationAge ?? null,
			position: this.#position,
			changed: entries
				.filter((entry) => isWhole || entry.revision > known.revision)
				.map(({server}) => server),
			isWhole,
			removed: isWhole
				? []
				: [...this.#removals.keys()].filter(
						(id) => this.#removals.get(id)! > known.revision,
					),
			checksum: computeChecksum(entries),
			evacuationsPosition: this.#evacuationsPosition,
			evacuated: [...this.#evacuated],
		};
	}

	/**
	 * Combines a delta with the servers known here into the complete list. Returns
	 * undefined if the result is not the other host's list, as when a server left
	 * and returned unchanged between two lists; the whole list is needed then.
	 */
	merge({
		changed,
		isWhole,
		removed,
		checksum,
	}: StoreDelta): BackendServer[] | undefined {
		const servers = new Map<string, ServerEntry>(isWhole ? [] : this.#servers);
		for (const id of removed) {
			servers.delete(id);
		}

		for (const server of changed) {
			servers.set(server.id, createEntry(server, this.#position.revision));
		}

		const entries = [...servers.values()];
		return computeChecksum(entries) === checksum
			? entries.map(({server}) => server)
			: undefined;
	}

	#applyConfiguration({
		configuration,
		confirmationAge,
	}: SteeringEventOf<'configuration-read'>): void {
		if (configuration.version > this.version) {
			this.#configuration = configuration;
			this.#confirmedAt = undefined;
		}

		if (confirmationAge !== undefined) {
			this.#confirmConfiguration(configuration.version, confirmationAge);
		}
	}

	#confirmConfiguration(version: number, age: Milliseconds): void {
		if (version === this.version) {
			const confirmedAt = this.#clock.now() - age;
			this.#confirmedAt = Math.max(
				this.#confirmedAt ?? confirmedAt,
				confirmedAt,
			);
		}
	}

	#applyFleet({
		position,
		servers,
		evacuationsPosition,
		evacuated,
	}: SteeringEventOf<'fleet-listed'>): void {
		if (comparePositions(evacuationsPosition, this.#evacuationsPosition) >= 0) {
			this.#evacuationsPosition = evacuationsPosition;
			this.#evacuated = evacuated;
		}

		if (comparePositions(position, this.#position) < 0) {
			return;
		}

		const {era, revision} = position;
		if (era !== this.#position.era) {
			this.#forgetRevisions();
		}

		const previousServers = this.#servers;
		this.#servers = new Map(
			servers.map((server) => {
				const previous = previousServers.get(server.id);
				const isSame =
					previous !== undefined && isSameServer(previous.server, server);
				const entry = isSame ? previous : createEntry(server, revision);
				return [server.id, entry] as const;
			}),
		);
		this.#recordRemovals(previousServers.keys(), revision);
		this.#position = position;
	}

	/** In a new era, revisions of the last one no longer say what is newer. */
	#forgetRevisions(): void {
		this.#servers = new Map();
		this.#removals.clear();
		this.#removalsKnownSince = Number.POSITIVE_INFINITY;
	}

	#recordRemovals(previousIds: Iterable<string>, revision: number): void {
		this.#removalsKnownSince = Math.min(this.#removalsKnownSince, revision);
		for (const id of previousIds) {
			if (!this.#servers.has(id)) {
				this.#removals.delete(id);
				this.#removals.set(id, revision);
			}
		}

		for (const [id, removedAt] of this.#removals) {
			if (this.#servers.has(id)) {
				this.#removals.delete(id);
			} else if (this.#removals.size > maximumRemovals) {
				this.#removals.delete(id);
				this.#removalsKnownSince = Math.max(
					this.#removalsKnownSince,
					removedAt,
				);
			}
		}
	}
}

function createEntry(server: BackendServer, revision: number): ServerEntry {
	return {server, hash: computeHash(formatServer(server)), revision};
}

/** Formats all fields in an order that is the same on all hosts. */
function formatServer(server: BackendServer): string {
	return JSON.stringify(server, Object.keys(server).sort());
}

/** Computes a checksum that does not depend on the order of the entries. */
function computeChecksum(entries: readonly ServerEntry[]): number {
	let checksum = 0;
	for (const {hash} of entries) {
		// eslint-disable-next-line no-bitwise -- Exclusive or is independent of the order.
		checksum ^= hash;
	}

	return checksum;
}

function isSameServer(a: BackendServer, b: BackendServer): boolean {
	return formatServer(a) === formatServer(b);
}
