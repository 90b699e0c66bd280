import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {
	Service,
	SteeringConfiguration,
	SteeringCustomer,
	SteeringRoute,
} from './model.js';
import {RouteTable} from './route-table.js';

/** The current configuration, and when it was last confirmed to be the newest. */
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

	/** Applies a newer version; returns false for an older or equal one. */
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

	/** Records that the version was the newest at the given time. */
	confirm(version: number, at: Milliseconds): void {
		if (version === this.version) {
			this.#confirmedAt = Math.max(this.#confirmedAt ?? at, at);
		}
	}

	/** Discards the last confirmation. */
	clearConfirmation(): void {
		this.#confirmedAt = undefined;
	}

	/** Time since the version was last confirmed to be the newest. */
	computeConfirmationAge(now: Milliseconds): Milliseconds {
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
	 * Returns the customer of a key. Errors: key-unknown, and keys-not-fresh if
	 * the key may have been issued or withdrawn since the last confirmation.
	 */
	identify(
		keyHash: string,
		now: Milliseconds,
		maximumConfirmationAge: Milliseconds,
	): Result<SteeringCustomer, ErrorKind> {
		if (this.computeConfirmationAge(now) > maximumConfirmationAge) {
			return Result.err(ErrorKind.KeysNotFresh);
		}

		const customer = this.#customersByKey.get(keyHash);
		return customer === undefined
			? Result.err(ErrorKind.KeyUnknown)
			: Result.ok(customer);
	}
}
