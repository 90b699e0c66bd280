import type {
	ErrorKind,
	Milliseconds,
	VersionedConfiguration,
} from '@parsleyvale/shared';
import type {Result} from 'true-myth';
import {createServiceKey} from '../service-key.js';

/** The configuration as known to this host. */
export abstract class ConfigurationView {
	/** Undefined until a configuration has taken effect. */
	abstract get current(): VersionedConfiguration | undefined;

	/**
	 * Returns the customer to whom a key belongs. Errors: key-unknown,
	 * key-withdrawn, not-configured, and keys-not-fresh if the known withdrawals
	 * of keys may be out of date.
	 */
	abstract identify(
		keyHash: string,
		now: Milliseconds,
	): Result<string, ErrorKind>;
}

export const configurationKey =
	createServiceKey<ConfigurationView>('configuration');
