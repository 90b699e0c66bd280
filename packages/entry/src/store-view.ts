import type {Clock, Milliseconds} from '@parsleyvale/shared';
import {
	backendServerSchema,
	steeringConfigurationSchema,
	type BackendServer,
	type SteeringConfiguration,
	type SteeringEvent,
	type SteeringEventOf,
} from '@parsleyvale/steering';
import {z} from 'zod';

/** Changes of the store that one host passes on to another. */
export const storeDeltaSchema = z.object({
	version: z.int(),
	/** Undefined if the requesting host already has this version. */
	configuration: steeringConfigurationSchema.optional(),
	/** Time since the version was last known to be the newest; null: not known. */
	configurationAgeMs: z.number().nullable(),
	/** Store revision of the servers. */
	revision: z.int(),
	/** Servers that changed after the requesting host's revision. */
	changed: z.array(backendServerSchema),
	/** Ids of all servers; servers not listed were removed. */
	present: z.array(z.string()),
	evacuationsRevision: z.int(),
	evacuated: z.array(z.string()),
});

export type StoreDelta = z.infer<typeof storeDeltaSchema>;

type ServerEntry = {readonly server: BackendServer; readonly revision: number};

/** The state of the store as last seen by this host, to be passed on to other hosts. */
export class StoreView {
	readonly #clock: Clock;
	#configuration: SteeringConfiguration | undefined;
	#confirmedAt: Milliseconds | undefined;
	#revision = -1;
	#servers = new Map<string, ServerEntry>();
	#evacuationsRevision = -1;
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

	get revision(): number {
		return this.#revision;
	}

	get evacuationsRevision(): number {
		return this.#evacuationsRevision;
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

	/** Creates the delta for a host with a known version and revision; undefined: the store has not been read yet. */
	createDelta(
		knownVersion: number,
		knownRevision: number,
	): StoreDelta | undefined {
		if (this.#configuration === undefined || this.#revision < 0) {
			return undefined;
		}

		const entries = [...this.#servers.values()];
		return {
			version: this.version,
			configuration:
				this.version > knownVersion ? this.#configuration : undefined,
			configurationAgeMs: this.configurationAge ?? null,
			revision: this.#revision,
			changed: entries
				.filter((entry) => entry.revision > knownRevision)
				.map(({server}) => server),
			present: [...this.#servers.keys()],
			evacuationsRevision: this.#evacuationsRevision,
			evacuated: [...this.#evacuated],
		};
	}

	/** Combines a delta with the servers known here into the complete list. */
	merge({changed, present}: StoreDelta): BackendServer[] {
		const servers = new Map(changed.map((server) => [server.id, server]));
		return present.flatMap(
			(id) => servers.get(id) ?? this.#servers.get(id)?.server ?? [],
		);
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
		revision,
		servers,
		evacuationsRevision,
		evacuated,
	}: SteeringEventOf<'fleet-listed'>): void {
		if (evacuationsRevision >= this.#evacuationsRevision) {
			this.#evacuationsRevision = evacuationsRevision;
			this.#evacuated = evacuated;
		}

		if (revision < this.#revision) {
			return;
		}

		const previousServers = this.#servers;
		this.#servers = new Map(
			servers.map((server) => {
				const previous = previousServers.get(server.id);
				const isSame =
					previous !== undefined && isSameServer(previous.server, server);
				return [server.id, isSame ? previous : {server, revision}] as const;
			}),
		);
		this.#revision = revision;
	}
}

function isSameServer(a: BackendServer, b: BackendServer): boolean {
	return JSON.stringify(a) === JSON.stringify(b);
}
