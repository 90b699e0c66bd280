import {isDeepStrictEqual} from 'node:util';
import type {VersionedConfiguration} from '@parsleyvale/shared';
import type {Fleet, FleetHost} from './fleet.js';

/** What must always hold, told from outside: throws when it does not. */
export class Oracle {
	readonly #fleet: Fleet;
	/** Highest version seen in each process. */
	readonly #seen = new Map<string, number>();
	/** Operations that withdraw keys, and the hash of each key. */
	readonly #withdrawals = new Map<string, string>();
	readonly #asked = new Map<string, FleetHost>();
	#judgedAnswers = 0;
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

	onWithdrawal(operationId: string, hash: string, asked: FleetHost): void {
		this.#withdrawals.set(operationId, hash);
		this.#asked.set(operationId, asked);
	}

	/** At rest, all healed: everything has converged. */
	checkEnd(keyHashes: readonly string[]): void {
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

	/** A process that dies takes an unanswered request with it. */
	#checkAgreement(hash: string): void {
		const operations = [...this.#withdrawals.keys()].filter(
			(operationId) => this.#withdrawals.get(operationId) === hash,
		);
		const mustHold = operations.some(
			(operationId) => this.#asked.get(operationId)!.isAlive,
		);
		const accepts = this.#fleet.hosts.filter((host) =>
			this.#fleet.identify(host, hash),
		).length;
		const all = this.#fleet.hosts.length;
		this.#expect(
			accepts === 0 || accepts === all,
			`${accepts} of ${all} hosts accept a key`,
		);
		this.#expect(!mustHold || accepts === 0, 'a withdrawal was forgotten');
		this.#expect(
			operations.length > 0 || accepts === all,
			'a key is refused that nobody withdrew',
		);
		this.#expect(
			!mustHold || this.#acknowledged.has(hash),
			'a withdrawal was not acknowledged',
		);
	}

	#checkAnswers(): void {
		const {answers} = this.#fleet;
		for (; this.#judgedAnswers < answers.length; this.#judgedAnswers++) {
			const {operationId, result} = answers[this.#judgedAnswers]!.answer;
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
		// Both of these say, by the table, that the change may have been applied.
		const isOpen = error === 'outcome-unknown' || error === 'store-unavailable';
		if (!isOpen) {
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

		const before = this.#seen.get(host.incarnation) ?? 0;
		this.#expect(
			current.version >= before,
			`${host.name} went back from ${before} to ${current.version}`,
		);
		if (current.version > before) {
			this.#seen.set(host.incarnation, current.version);
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

	#expect(holds: boolean, message: string): void {
		if (!holds) {
			throw new Error(`${message}, at ${this.#fleet.schedule.now} ms`);
		}
	}
}
