import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import type {
	Context,
	KeyWithdrawalRequested,
	PeerIdentity,
} from '@parsleyvale/kernel';
import type {LocalConfiguration} from './local-configuration.js';
import {topics, type ConfirmMessage, type WithdrawMessage} from './messages.js';
import {OperatorAnswers} from './operator-answers.js';
import type {ResolvedOptions} from './options.js';
import type {Voters} from './voters.js';
import type {StoredWithdrawals} from './stored-withdrawals.js';
import type {WithdrawalSet} from './withdrawal-set.js';

/** Interval at which a withdrawal is sent again to peers without an answer. */
const withdrawalResendInterval: Milliseconds = 300;

type Dependencies = {
	readonly self: PeerIdentity;
	readonly options: ResolvedOptions;
	readonly localConfiguration: LocalConfiguration;
	readonly withdrawnKeys: WithdrawalSet;
	readonly storedWithdrawals: StoredWithdrawals;
	readonly voters: Voters;
};

type PendingWithdrawal = {
	readonly operationId: string;
	readonly keyName: string;
	readonly hash: string;
	token: string;
	isStored: boolean;
	/** Names of the peers that have confirmed the withdrawal. */
	readonly confirmed: Set<string>;
	/** When all conditions were met; the acknowledgement delay starts here. */
	conditionsMetAt: Milliseconds | undefined;
	sentAt: Milliseconds;
};

/** Progress of a pending withdrawal, for operators. */
export type WithdrawalProgress = {
	readonly keyName: string;
	readonly isStored: boolean;
	readonly confirmed: readonly string[];
	readonly unconfirmed: readonly string[];
};

/**
 * Pending key withdrawals. A withdrawal is acknowledged once the store holds it,
 * a majority of hosts has confirmed it after that, and all older freshness
 * leases have expired. See docs/design/keys.md.
 *
 * @internal
 */
export class KeyWithdrawals {
	readonly #dependencies: Dependencies;
	readonly #pending = new Map<string, PendingWithdrawal>();
	readonly #answers = new OperatorAnswers();
	#tokenCount = 0;

	constructor(dependencies: Dependencies) {
		this.#dependencies = dependencies;
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
		if (this.#answers.answerDuplicate(operationId, context)) {
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

		this.#beginWithdrawal({operationId, keyName, hash}, context);
	}

	/** Adds withdrawn keys sent by a peer and confirms them. */
	onWithdraw(
		from: PeerIdentity,
		message: WithdrawMessage,
		context: Context,
	): void {
		this.#dependencies.withdrawnKeys.addAll(message.hashes);
		const payload: ConfirmMessage = {token: message.token};
		context.emit({
			type: 'send-peer',
			to: from.name,
			topic: topics.confirm,
			payload,
		});
	}

	onConfirm(from: PeerIdentity, message: ConfirmMessage): void {
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

	#beginWithdrawal(
		request: Pick<PendingWithdrawal, 'operationId' | 'keyName' | 'hash'>,
		context: Context,
	): void {
		const pending: PendingWithdrawal = {
			...request,
			token: this.#createToken(),
			isStored: false,
			confirmed: new Set(),
			conditionsMetAt: undefined,
			sentAt: context.now,
		};
		this.#pending.set(request.operationId, pending);
		this.#dependencies.withdrawnKeys.add(request.hash);
		this.#dependencies.storedWithdrawals.requestWrite(context.now);
		this.#sendToPeers(pending, context);
		context.emit({
			type: 'log',
			level: 'info',
			message: 'key withdrawn on this host',
			fields: {key: request.keyName},
		});
	}

	#advance(pending: PendingWithdrawal, context: Context): void {
		this.#checkStored(pending, context);
		if (!this.#hasMetConditions(pending)) {
			pending.conditionsMetAt = undefined;
			this.#resendIfDue(pending, context);
			return;
		}

		pending.conditionsMetAt ??= context.now;
		const {options} = this.#dependencies;
		const delay = options.safeguards.waitForLeaseExpiry
			? options.acknowledgementDelay
			: 0;
		if (context.now - pending.conditionsMetAt >= delay) {
			this.#answerAccepted(pending, context);
		} else {
			this.#resendIfDue(pending, context);
		}
	}

	/**
	 * Discards confirmations from before the store held the withdrawal: such a
	 * host may have restarted and synced from the store without it.
	 */
	#checkStored(pending: PendingWithdrawal, context: Context): void {
		if (
			pending.isStored ||
			!this.#dependencies.storedWithdrawals.has(pending.hash)
		) {
			return;
		}

		pending.isStored = true;
		if (!this.#dependencies.options.safeguards.confirmAfterStore) {
			return;
		}

		pending.token = this.#createToken();
		pending.confirmed.clear();
		this.#sendToPeers(pending, context);
	}

	#hasMetConditions(pending: PendingWithdrawal): boolean {
		const {voters, options} = this.#dependencies;
		const {waitForMajority, waitForStore} = options.safeguards;
		const confirmed = [...pending.confirmed].filter((name) => voters.has(name));
		const hasMajority = confirmed.length + 1 >= voters.majority;
		return (
			(pending.isStored || !waitForStore) && (hasMajority || !waitForMajority)
		);
	}

	#resendIfDue(pending: PendingWithdrawal, context: Context): void {
		if (context.now - pending.sentAt >= withdrawalResendInterval) {
			this.#dependencies.storedWithdrawals.requestWrite(context.now);
			this.#sendToPeers(pending, context);
		}
	}

	#sendToPeers(pending: PendingWithdrawal, context: Context): void {
		pending.sentAt = context.now;
		const payload: WithdrawMessage = {
			token: pending.token,
			hashes: [pending.hash],
		};
		for (const to of this.#listUnconfirmed(pending)) {
			context.emit({type: 'send-peer', to, topic: topics.withdraw, payload});
		}
	}

	#listUnconfirmed(pending: PendingWithdrawal): string[] {
		return this.#dependencies.voters.peers.filter(
			(peer) => !pending.confirmed.has(peer),
		);
	}

	#answerAccepted(pending: PendingWithdrawal, context: Context): void {
		this.#pending.delete(pending.operationId);
		this.#answers.answer(
			{
				type: 'answer-operator',
				operationId: pending.operationId,
				result: {
					kind: 'accepted',
					version: this.#dependencies.localConfiguration.current?.version ?? 0,
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
		const {current} = this.#dependencies.localConfiguration;
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
						message: `Key "${keyName}" does not exist.`,
					},
				],
			},
		});
	}

	#findHash(keyName: string): string | undefined {
		const keys =
			this.#dependencies.localConfiguration.current?.configuration.keys ?? [];
		return keys.find((key) => key.name === keyName)?.hash;
	}

	#createToken(): string {
		return `${this.#dependencies.self.incarnation}/${this.#tokenCount++}`;
	}
}
