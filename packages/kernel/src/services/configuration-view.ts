import type {
	ErrorKind,
	Milliseconds,
	VersionedConfiguration,
} from '@parsleyvale/shared';
import type {Result} from 'true-myth';
import {createServiceKey} from '../service-key.js';

/** What this host knows of the configuration. */
export abstract class ConfigurationView {
	/** Undefined until a first configuration is in force. */
	abstract get current(): VersionedConfiguration | undefined;

	/**
	 * The customer that a key stands for. Errors: key-unknown, key-withdrawn,
	 * not-configured, and keys-not-fresh when this host cannot know which keys
	 * are withdrawn.
	 */
	abstract identify(
		keyHash: string,
		now: Milliseconds,
	): Result<string, ErrorKind>;
}

export const configurationKey =
	createServiceKey<ConfigurationView>('configuration');
