import type {VersionedConfiguration} from '@parsleyvale/shared';
import {computeDelta} from './configuration-delta.js';
import type {ConfigurationDelta, Operation} from './messages.js';
import type {Rules} from './options.js';

/** Versions kept whole, to send only what changed since. */
const keptVersions = 8;

/** Operation ids told to peers with each configuration. */
const toldOperations = 32;

/** Operation ids kept to answer an operator who asks again. */
const keptOperations = 1000;

/**
 * The configuration in force and the ones before it. Versions only rise.
 *
 * @internal
 */
export class VersionsInForce {
	readonly #rules: Rules;
	readonly #kept: VersionedConfiguration[] = [];
	readonly #operations = new Map<number, string>();
	#current: VersionedConfiguration | undefined;

	constructor(rules: Rules) {
		this.#rules = rules;
	}

	get current(): VersionedConfiguration | undefined {
		return this.#current;
	}

	get version(): number {
		return this.#current?.version ?? 0;
	}

	/** Puts a configuration in force; returns false for one that is not newer. */
	apply(candidate: VersionedConfiguration): boolean {
		this.addOperation(candidate);
		const rises = candidate.version > this.version;
		const differs = candidate.version !== this.version;
		if (!rises && (this.#rules.safeguards.risingVersions || !differs)) {
			return false;
		}

		this.#current = candidate;
		this.#kept.push(candidate);
		if (this.#kept.length > keptVersions) {
			this.#kept.shift();
		}

		return true;
	}

	/** The operations that made the newest versions. */
	listOperations(): Operation[] {
		return [...this.#operations]
			.map(([version, operationId]) => ({version, operationId}))
			.sort((a, b) => b.version - a.version)
			.slice(0, toldOperations);
	}

	/** The operation that made a version, as far as this host saw it. */
	findOperation(version: number): string | undefined {
		return this.#operations.get(version);
	}

	/** The delta from an earlier version; undefined when it is not kept. */
	findDelta(from: number): ConfigurationDelta | undefined {
		const before = this.#kept.find((kept) => kept.version === from);
		if (before === undefined || this.#current === undefined) {
			return undefined;
		}

		return computeDelta(before, this.#current);
	}

	addOperation({version, operationId}: Operation): void {
		this.#operations.set(version, operationId);
		if (this.#operations.size > keptOperations) {
			const [oldest] = this.#operations.keys();
			this.#operations.delete(oldest!);
		}
	}
}
