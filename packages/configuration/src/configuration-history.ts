import type {VersionedConfiguration} from '@parsleyvale/shared';
import {computeDelta} from './configuration-delta.js';
import type {ConfigurationDelta, Operation} from './messages.js';
import type {ResolvedOptions} from './options.js';

/** Full configurations retained to compute deltas for peers. */
const maxRetainedVersions = 8;

/** Operation ids sent to peers with each configuration. */
const maxAdvertisedOperations = 32;

/** Operation ids retained to answer repeated operations. */
const maxRetainedOperations = 1000;

/**
 * The active configuration and its recent predecessors. Version numbers only
 * increase.
 *
 * @internal
 */
export class ConfigurationHistory {
	readonly #options: ResolvedOptions;
	/** The active configuration and the ones before it, oldest first. */
	readonly #retained: VersionedConfiguration[] = [];
	readonly #operations = new Map<number, string>();
	#current: VersionedConfiguration | undefined;

	constructor(options: ResolvedOptions) {
		this.#options = options;
	}

	get current(): VersionedConfiguration | undefined {
		return this.#current;
	}

	get version(): number {
		return this.#current?.version ?? 0;
	}

	/** Activates a configuration; returns false if it is not newer. */
	apply(candidate: VersionedConfiguration): boolean {
		this.addOperation(candidate);
		const isNewer = candidate.version > this.version;
		const isDifferent = candidate.version !== this.version;
		if (
			!isNewer &&
			(this.#options.safeguards.monotonicVersions || !isDifferent)
		) {
			return false;
		}

		this.#current = candidate;
		this.#retained.push(candidate);
		if (this.#retained.length > maxRetainedVersions) {
			this.#retained.shift();
		}

		return true;
	}

	/** The operations that created the newest versions. */
	listOperations(): Operation[] {
		return [...this.#operations]
			.map(([version, operationId]) => ({version, operationId}))
			.sort((a, b) => b.version - a.version)
			.slice(0, maxAdvertisedOperations);
	}

	/** The operation that created a version, if this host knows it. */
	findOperation(version: number): string | undefined {
		return this.#operations.get(version);
	}

	/** The delta from an earlier version; undefined if that is not retained. */
	findDelta(from: number): ConfigurationDelta | undefined {
		const before = this.#retained.find((entry) => entry.version === from);
		if (before === undefined || this.#current === undefined) {
			return undefined;
		}

		return computeDelta(before, this.#current);
	}

	addOperation({version, operationId}: Operation): void {
		this.#operations.set(version, operationId);
		if (this.#operations.size > maxRetainedOperations) {
			const [oldest] = this.#operations.keys();
			this.#operations.delete(oldest!);
		}
	}
}
