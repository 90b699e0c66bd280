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

/** What one host has and another asks for, as far as it is newer. */
export const storeCopySchema = z.object({
	version: z.int(),
	/** Undefined: the asking host has this version. */
	configuration: steeringConfigurationSchema.optional(),
	/** How long ago the version was known to be the newest; null: not known. */
	configurationAgeMs: z.number().nullable(),
	/** Revision that the servers show. */
	revision: z.int(),
	/** Servers that changed after the asking host's revision. */
	changed: z.array(backendServerSchema),
	/** Ids of all servers: others are gone. */
	present: z.array(z.string()),
	evacuationsRevision: z.int(),
	evacuated: z.array(z.string()),
});

export type StoreCopy = z.infer<typeof storeCopySchema>;

type Entry = {readonly server: BackendServer; readonly revision: number};

/** What this host last learnt of the store, to be passed on to other hosts. */
export class StoreView {
	readonly #clock: Clock;
	#configuration: SteeringConfiguration | undefined;
	#confirmedAt: Milliseconds | undefined;
	#revision = -1;
	#servers = new Map<string, Entry>();
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

	/** Time since the configuration was known to be the newest. */
	get configurationAge(): Milliseconds | undefined {
		return this.#confirmedAt === undefined
			? undefined
			: this.#clock.now() - this.#confirmedAt;
	}

	/** Takes what the store, or another host, said. */
	apply(event: SteeringEvent): void {
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- Other events tell nothing of the store.
		switch (event.type) {
			case 'configuration-read': {
				this.#applyConfiguration(event);
				break;
			}

			case 'configuration-confirmed': {
				this.#confirm(event.version, event.age);
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

	/** What a host with that version and revision lacks; undefined: nothing is known here. */
	toCopy(version: number, revision: number): StoreCopy | undefined {
		if (this.#configuration === undefined || this.#revision < 0) {
			return undefined;
		}

		const entries = [...this.#servers.values()];
		return {
			version: this.version,
			configuration: this.version > version ? this.#configuration : undefined,
			configurationAgeMs: this.configurationAge ?? null,
			revision: this.#revision,
			changed: entries
				.filter((entry) => entry.revision > revision)
				.map(({server}) => server),
			present: [...this.#servers.keys()],
			evacuationsRevision: this.#evacuationsRevision,
			evacuated: [...this.#evacuated],
		};
	}

	/** The servers that a copy and what is known here come to. */
	merge({changed, present}: StoreCopy): BackendServer[] {
		const servers = new Map(changed.map((server) => [server.id, server]));
		return present.flatMap(
			(id) => servers.get(id) ?? this.#servers.get(id)?.server ?? [],
		);
	}

	#applyConfiguration({
		configuration,
		age,
	}: SteeringEventOf<'configuration-read'>): void {
		if (configuration.version > this.version) {
			this.#configuration = configuration;
			this.#confirmedAt = undefined;
		}

		if (age !== undefined) {
			this.#confirm(configuration.version, age);
		}
	}

	#confirm(version: number, age: Milliseconds): void {
		if (version === this.version) {
			const at = this.#clock.now() - age;
			this.#confirmedAt = Math.max(this.#confirmedAt ?? at, at);
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

		const before = this.#servers;
		this.#servers = new Map(
			servers.map((server) => {
				const known = before.get(server.id);
				const isSame =
					known !== undefined && isSameServer(known.server, server);
				return [server.id, isSame ? known : {server, revision}] as const;
			}),
		);
		this.#revision = revision;
	}
}

function isSameServer(a: BackendServer, b: BackendServer): boolean {
	return JSON.stringify(a) === JSON.stringify(b);
}
