import {isDeepStrictEqual} from 'node:util';
import type {VersionedConfiguration} from '@parsleyvale/shared';
import type {Fleet, FleetHost} from './fleet.js';

/** Checks invariants of the fleet after each event; throws on a violation. */
export class Oracle {
	readonly #fleet: Fleet;
	/** Highest version seen in each process, by incarnation. */
	readonly #highestVersions = new Map<string, number>();
	/** Hashes of withdrawn keys, by operation id. */
	readonly #withdrawals = new Map<string, string>();
	readonly #requestedHosts = new Map<string, FleetHost>();
	#checkedAnswerCount = 0;
	readonly #acknowledged = new Set<string>();
	readonly #refused = new Set<string>();

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
		fleet.listeners.push((host) => {
			this.#checkAnswers();
			this.#checkVersion(host);
			this.#checkKeys(host);
		});
	}

	onWithdrawal(
		operationId: string,
		hash: string,
		requestedHost: FleetHost,
	): void {
		this.#withdrawals.set(operationId, hash);
		this.#requestedHosts.set(operationId, requestedHost);
	}

	/** Checks that all hosts have converged after all faults have healed. */
	checkConverged(keyHashes: readonly string[]): void {
		const newest = this.#listStored().at(-1);
		for (const host of this.#fleet.hosts) {
			const version = host.view.current?.version;
			this.#expect(
				version === newest?.version,
				`${host.name} has ${version} and not ${newest?.version}`,
			);
		}

		for (const hash of keyHashes) {
			this.#checkAgreement(hash);
		}

		this.#checkRefused();
	}

	/** A request without an answer is lost if the process that got it dies. */
	#checkAgreement(hash: string): void {
		const operations = [...this.#withdrawals.keys()].filter(
			(operationId) => this.#withdrawals.get(operationId) === hash,
		);
		const mustBeWithdrawn = operations.some(
			(operationId) => this.#requestedHosts.get(operationId)!.isAlive,
		);
		const acceptingCount = this.#fleet.hosts.filter((host) =>
			this.#fleet.identify(host, hash),
		).length;
		const hostCount = this.#fleet.hosts.length;
		this.#expect(
			acceptingCount === 0 || acceptingCount === hostCount,
			`${acceptingCount} of ${hostCount} hosts accept a key`,
		);
		this.#expect(
			!mustBeWithdrawn || acceptingCount === 0,
			'a withdrawal was lost',
		);
		this.#expect(
			operations.length > 0 || acceptingCount === hostCount,
			'a key is refused that was not withdrawn',
		);
		this.#expect(
			!mustBeWithdrawn || this.#acknowledged.has(hash),
			'a withdrawal was not acknowledged',
		);
	}

	#checkAnswers(): void {
		const {answers} = this.#fleet;
		for (
			;
			this.#checkedAnswerCount < answers.length;
			this.#checkedAnswerCount++
		) {
			const {operationId, result} = answers[this.#checkedAnswerCount]!.answer;
			const hash = this.#withdrawals.get(operationId);
			if (hash !== undefined && result.kind === 'accepted') {
				this.#acknowledged.add(hash);
			} else if (hash === undefined && result.kind === 'accepted') {
				const stored = this.#listStored()[result.version - 1];
				this.#expect(
					stored?.operationId === operationId,
					`${operationId} was accepted as ${result.version}, of ${stored?.operationId}`,
				);
			} else if (result.kind === 'refused') {
				this.#checkRefusal(operationId, result.error);
			}
		}
	}

	#checkRefusal(operationId: string, error: string): void {
		// Both errors leave open whether the change was applied.
		const mayBeApplied =
			error === 'outcome-unknown' || error === 'store-unavailable';
		if (!mayBeApplied) {
			this.#refused.add(operationId);
		}

		this.#checkRefused();
	}

	#checkRefused(): void {
		const applied = this.#listStored().map(({operationId}) => operationId);
		this.#expect(
			new Set(applied).size === applied.length,
			'an operation was applied twice',
		);
		for (const operationId of this.#refused) {
			this.#expect(
				!applied.includes(operationId),
				`${operationId} was refused and applied`,
			);
		}
	}

	#checkVersion(host: FleetHost): void {
		const {current} = host.view;
		if (current === undefined) {
			return;
		}

		const before = this.#highestVersions.get(host.incarnation) ?? 0;
		this.#expect(
			current.version >= before,
			`${host.name} went back from ${before} to ${current.version}`,
		);
		if (current.version > before) {
			this.#highestVersions.set(host.incarnation, current.version);
			this.#expect(
				isDeepStrictEqual(current, this.#listStored()[current.version - 1]),
				`${host.name} has another ${current.version} than the store`,
			);
		}
	}

	#checkKeys(host: FleetHost): void {
		for (const hash of this.#acknowledged) {
			this.#expect(
				!this.#fleet.identify(host, hash),
				`${host.name} accepts a key after its withdrawal was acknowledged`,
			);
		}
	}

	#listStored(): VersionedConfiguration[] {
		return this.#fleet.store
			.listVersions('configuration')
			.map(({value}) => value as VersionedConfiguration);
	}

	#expect(condition: boolean, message: string): void {
		if (!condition) {
			throw new Error(`${message}, at ${this.#fleet.schedule.now} ms`);
		}
	}
}
