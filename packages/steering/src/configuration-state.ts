import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {
	Service,
	SteeringConfiguration,
	SteeringCustomer,
	SteeringRoute,
} from './model.js';
import {RouteTable} from './route-table.js';

/** The configuration in force here, and how sure it is to be the newest. */
export class ConfigurationState {
	#current: SteeringConfiguration | undefined;
	#confirmedAt: Milliseconds | undefined;
	#routes = new RouteTable([]);
	#customersByKey = new Map<string, SteeringCustomer>();
	#services = new Map<string, Service>();

	get current(): SteeringConfiguration | undefined {
		return this.#current;
	}

	get version(): number {
		return this.#current?.version ?? -1;
	}

	/** Puts a newer version in force; an older or equal one changes nothing. */
	apply(configuration: SteeringConfiguration): boolean {
		if (configuration.version <= this.version) {
			return false;
		}

		this.#current = configuration;
		this.#confirmedAt = undefined;
		this.#routes = new RouteTable(configuration.routes);
		this.#services = new Map(
			configuration.services.map((service) => [service.name, service]),
		);
		this.#customersByKey = new Map(
			configuration.customers.flatMap((customer) =>
				customer.keyHashes.map((hash) => [hash, customer] as const),
			),
		);
		return true;
	}

	/** Notes that the version was the newest one at that time. */
	confirm(version: number, at: Milliseconds): void {
		if (version === this.version) {
			this.#confirmedAt = Math.max(this.#confirmedAt ?? at, at);
		}
	}

	/** Forgets how fresh the configuration is. */
	clearFreshness(): void {
		this.#confirmedAt = undefined;
	}

	/** Time since the version was known to be the newest. */
	computeAge(now: Milliseconds): Milliseconds {
		return this.#confirmedAt === undefined
			? Number.POSITIVE_INFINITY
			: now - this.#confirmedAt;
	}

	findRoute(hostName: string, path: string): SteeringRoute | undefined {
		return this.#routes.findRoute(hostName, path);
	}

	findService(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/**
	 * The customer that a key stands for. Errors: key-unknown, and
	 * keys-not-fresh when the key may have been withdrawn, or given out, since
	 * this configuration was the newest.
	 */
	identify(
		keyHash: string,
		now: Milliseconds,
		longestAge: Milliseconds,
	): Result<SteeringCustomer, ErrorKind> {
		if (this.computeAge(now) > longestAge) {
			return Result.err(ErrorKind.KeysNotFresh);
		}

		const customer = this.#customersByKey.get(keyHash);
		return customer === undefined
			? Result.err(ErrorKind.KeyUnknown)
			: Result.ok(customer);
	}
}
