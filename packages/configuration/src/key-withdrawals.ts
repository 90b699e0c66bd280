import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import type {
	Context,
	KeyWithdrawalRequested,
	PeerIdentity,
} from '@parsleyvale/kernel';
import type {LocalConfiguration} from './local-configuration.js';
import {topics, type Confirm, type Withdraw} from './messages.js';
import {OperatorAnswers} from './operator-answers.js';
import type {Rules} from './options.js';
import type {Roster} from './roster.js';
import type {StoredWithdrawals} from './stored-withdrawals.js';
import type {WithdrawalSet} from './withdrawal-set.js';

const repeatInterval: Milliseconds = 300;

type Parts = {
	readonly self: PeerIdentity;
	readonly rules: Rules;
	readonly local: LocalConfiguration;
	readonly withdrawals: WithdrawalSet;
	readonly stored: StoredWithdrawals;
	readonly roster: Roster;
};

type Pending = {
	readonly operationId: string;
	readonly keyName: string;
	readonly hash: string;
	token: string;
	isStored: boolean;
	readonly confirmed: Set<string>;
	/** When the last condition before the waiting time was met. */
	coveredAt: Milliseconds | undefined;
	sentAt: Milliseconds;
};

/** How far a withdrawal has come; for operators. */
export type WithdrawalProgress = {
	readonly keyName: string;
	readonly isStored: boolean;
	readonly confirmed: readonly string[];
	readonly unconfirmed: readonly string[];
};

/**
 * Operators' withdrawals on their way. One is acknowledged when the store has
 * it, a majority of hosts confirmed it after that, and every right to accept
 * keys that was older than this has ended. See docs/design/keys.md.
 *
 * @internal
 */
export class KeyWithdrawals {
	readonly #parts: Parts;
	readonly #pending = new Map<string, Pending>();
	readonly #answers = new OperatorAnswers();
	#tokenCount = 0;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	get hasPending(): boolean {
		return this.#pending.size > 0;
	}

	list(): WithdrawalProgress[] {
		return [...this.#pending.values()].map((pending) => ({
			keyName: pending.keyName,
			isStored: pending.isStored,
			confirmed: [...pending.confirmed],
			unconfirmed: this.#listUnconfirmed(pending),
		}));
	}

	onRequested(event: KeyWithdrawalRequested, context: Context): void {
		const {operationId, keyName} = event;
		if (this.#answers.answerAgain(operationId, context)) {
			return;
		}

		if (this.#pending.has(operationId)) {
			return;
		}

		const hash = this.#findHash(keyName);
		if (hash === undefined) {
			this.#refuseUnknownKey(operationId, keyName, context);
			return;
		}

		this.#begin({operationId, keyName, hash}, context);
	}

	/** A peer tells of withdrawn keys. */
	onWithdraw(from: PeerIdentity, message: Withdraw, context: Context): void {
		this.#parts.withdrawals.addAll(message.hashes);
		const payload: Confirm = {token: message.token};
		context.emit({
			type: 'send-peer',
			to: from.name,
			topic: topics.confirm,
			payload,
		});
	}

	onConfirm(from: PeerIdentity, message: Confirm): void {
		for (const pending of this.#pending.values()) {
			if (pending.token === message.token) {
				pending.confirmed.add(from.name);
			}
		}
	}

	onTick(context: Context): void {
		for (const pending of this.#pending.values()) {
			this.#advance(pending, context);
		}
	}

	#begin(
		request: Pick<Pending, 'operationId' | 'keyName' | 'hash'>,
		context: Context,
	): void {
		const pending: Pending = {
			...request,
			token: this.#createToken(),
			isStored: false,
			confirmed: new Set(),
			coveredAt: undefined,
			sentAt: context.now,
		};
		this.#pending.set(request.operationId, pending);
		this.#parts.withdrawals.add(request.hash);
		this.#parts.stored.wantWrite(context.now);
		this.#sendToPeers(pending, context);
		context.emit({
			type: 'log',
			level: 'info',
			message: 'key withdrawn here',
			fields: {key: request.keyName},
		});
	}

	#advance(pending: Pending, context: Context): void {
		this.#checkStored(pending, context);
		if (!this.#isCovered(pending)) {
			pending.coveredAt = undefined;
			this.#sendAgain(pending, context);
			return;
		}

		pending.coveredAt ??= context.now;
		const {rules} = this.#parts;
		const wait = rules.safeguards.waitForFreshness
			? rules.acknowledgementDelay
			: 0;
		if (context.now - pending.coveredAt >= wait) {
			this.#answerAccepted(pending, context);
		} else {
			this.#sendAgain(pending, context);
		}
	}

	/**
	 * A host that confirmed before the store had the withdrawal may have
	 * restarted and learnt from the store without it: it must confirm again.
	 */
	#checkStored(pending: Pending, context: Context): void {
		if (pending.isStored || !this.#parts.stored.has(pending.hash)) {
			return;
		}

		pending.isStored = true;
		if (!this.#parts.rules.safeguards.confirmAfterStore) {
			return;
		}

		pending.token = this.#createToken();
		pending.confirmed.clear();
		this.#sendToPeers(pending, context);
	}

	#isCovered(pending: Pending): boolean {
		const {roster, rules} = this.#parts;
		const {waitForMajority, waitForStore} = rules.safeguards;
		const confirmed = [...pending.confirmed].filter((name) => roster.has(name));
		const hasMajority = confirmed.length + 1 >= roster.majority;
		return (
			(pending.isStored || !waitForStore) && (hasMajority || !waitForMajority)
		);
	}

	#sendAgain(pending: Pending, context: Context): void {
		if (context.now - pending.sentAt >= repeatInterval) {
			this.#parts.stored.wantWrite(context.now);
			this.#sendToPeers(pending, context);
		}
	}

	#sendToPeers(pending: Pending, context: Context): void {
		pending.sentAt = context.now;
		const payload: Withdraw = {token: pending.token, hashes: [pending.hash]};
		for (const to of this.#listUnconfirmed(pending)) {
			context.emit({type: 'send-peer', to, topic: topics.withdraw, payload});
		}
	}

	#listUnconfirmed(pending: Pending): string[] {
		return this.#parts.roster.peers.filter(
			(peer) => !pending.confirmed.has(peer),
		);
	}

	#answerAccepted(pending: Pending, context: Context): void {
		this.#pending.delete(pending.operationId);
		this.#answers.answer(
			{
				type: 'answer-operator',
				operationId: pending.operationId,
				result: {
					kind: 'accepted',
					version: this.#parts.local.current?.version ?? 0,
				},
			},
			context,
		);
	}

	#refuseUnknownKey(
		operationId: string,
		keyName: string,
		context: Context,
	): void {
		const {current} = this.#parts.local;
		const error =
			current === undefined ? ErrorKind.NotConfigured : ErrorKind.NotFound;
		context.emit({
			type: 'answer-operator',
			operationId,
			result: {
				kind: 'refused',
				error,
				version: current?.version ?? 0,
				problems: [
					{
						file: 'configuration',
						field: 'keys',
						message: `"${keyName}" is not the name of a key.`,
					},
				],
			},
		});
	}

	#findHash(keyName: string): string | undefined {
		const keys = this.#parts.local.current?.configuration.keys ?? [];
		return keys.find((key) => key.name === keyName)?.hash;
	}

	#createToken(): string {
		return `${this.#parts.self.incarnation}/${this.#tokenCount++}`;
	}
}
