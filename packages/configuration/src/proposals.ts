import {
	ErrorKind,
	configurationSchema,
	toProblems,
	versionedConfigurationSchema,
	type Milliseconds,
	type Problem,
	type VersionedConfiguration,
} from '@parsleyvale/shared';
import type {
	ConfigurationProposed,
	Context,
	EffectOf,
	ObjectRead,
	ObjectWritten,
} from '@parsleyvale/kernel';
import {checkReferences} from './check-references.js';
import {toOutcome, type Proposal} from './proposal.js';
import {OperatorAnswers} from './operator-answers.js';
import type {ResolvedOptions} from './options.js';
import type {ConfigurationHistory} from './configuration-history.js';

/** @internal */
export const configurationObject = 'configuration';

/** Delay before the store is read again. */
const retryInterval: Milliseconds = 500;

/** A store operation without an answer is followed by a read after this time. */
const storeTimeout: Milliseconds = 10_000;

/** A change is refused after more reads than this without its base version. */
const maxMissingReads = 5;

type Answer = EffectOf<'answer-operator'>;

type Dependencies = {
	readonly incarnation: string;
	readonly options: ResolvedOptions;
	readonly history: ConfigurationHistory;
	/** Activates a version that the store holds. */
	readonly onStored: (stored: VersionedConfiguration, context: Context) => void;
	/** Sends a version, written by this host, to its peers. */
	readonly onAccepted: (version: number, context: Context) => void;
};

/**
 * Handles configuration changes from operators: validates them, writes them by
 * conditional update, and reads back the outcome of a write whose response was
 * lost.
 *
 * @internal
 */
export class Proposals {
	readonly #dependencies: Dependencies;
	readonly #pending = new Map<string, Proposal>();
	readonly #answers = new OperatorAnswers();
	#storeOperationCount = 0;

	constructor(dependencies: Dependencies) {
		this.#dependencies = dependencies;
	}

	get hasPending(): boolean {
		return this.#pending.size > 0;
	}

	onProposed(event: ConfigurationProposed, context: Context): void {
		if (this.#answers.answerDuplicate(event.operationId, context)) {
			return;
		}

		if (this.#pending.has(event.operationId)) {
			return;
		}

		const parsed = configurationSchema.safeParse(event.configuration);
		const problems = parsed.success
			? checkReferences(parsed.data)
			: toProblems(configurationObject, parsed.error.issues);
		if (!parsed.success || problems.length > 0) {
			const error = ErrorKind.InvalidConfiguration;
			this.#refuse(event.operationId, error, problems, context);
			return;
		}

		const value = {
			version: event.expectedVersion + 1,
			operationId: event.operationId,
			configuration: parsed.data,
		};
		this.#beginProposal(value, context);
	}

	onWritten(event: ObjectWritten, context: Context): void {
		const proposal = this.#findByStoreOperation(event.operationId);
		if (proposal === undefined) {
			return;
		}

		proposal.storeOperationId = undefined;
		switch (event.result.kind) {
			case 'written': {
				this.#dependencies.onStored(proposal.value, context);
				this.#answerAccepted(proposal, context);
				break;
			}

			case 'conflict': {
				this.#read(proposal, context);
				break;
			}

			case 'unknown': {
				this.#onUnknownOutcome(proposal, context);
				break;
			}

			case 'failed': {
				this.#onStoreUnavailable(proposal, context);
				break;
			}
		}
	}

	onRead(event: ObjectRead, context: Context): void {
		const proposal = this.#findByStoreOperation(event.operationId);
		if (proposal === undefined) {
			return;
		}

		proposal.storeOperationId = undefined;
		if (event.result.kind === 'failed') {
			this.#onStoreUnavailable(proposal, context);
			return;
		}

		const found =
			event.result.kind === 'found'
				? versionedConfigurationSchema.safeParse(event.result.object.value)
				: undefined;
		if (found?.success) {
			this.#dependencies.onStored(found.data, context);
		}

		this.#handleOutcome(proposal, found?.data?.version ?? 0, context);
	}

	onTick(context: Context): void {
		for (const proposal of this.#pending.values()) {
			if (proposal.retryAt !== undefined && context.now >= proposal.retryAt) {
				// A late response to the previous operation is ignored.
				proposal.mayBeWritten ||= proposal.storeOperationId !== undefined;
				this.#read(proposal, context);
			}
		}
	}

	#beginProposal(value: VersionedConfiguration, context: Context): void {
		const proposal: Proposal = {
			value,
			storeOperationId: undefined,
			retryAt: undefined,
			mayBeWritten: false,
			missingReads: 0,
		};
		this.#pending.set(value.operationId, proposal);
		const {history} = this.#dependencies;
		if (value.version > history.version) {
			this.#write(proposal, context);
		} else {
			this.#handleOutcome(proposal, history.version, context);
		}
	}

	#handleOutcome(
		proposal: Proposal,
		readVersion: number,
		context: Context,
	): void {
		const {history} = this.#dependencies;
		const {value} = proposal;
		const newestVersion = Math.max(history.version, readVersion);
		const operation = history.findOperation(value.version);
		switch (toOutcome(proposal, newestVersion, operation)) {
			case 'accepted': {
				this.#answerAccepted(proposal, context);
				break;
			}

			case 'overtaken': {
				this.#refuseWithVersion(proposal, ErrorKind.VersionConflict, context);
				break;
			}

			case 'unknown': {
				this.#refuseWithVersion(proposal, ErrorKind.OutcomeUnknown, context);
				break;
			}

			case 'not-yet': {
				this.#retryWrite(proposal, newestVersion, context);
				break;
			}
		}
	}

	/**
	 * Either the version is still free or the read was stale. Repeating the write
	 * is safe, as the conditional update succeeds at most once.
	 */
	#retryWrite(
		proposal: Proposal,
		newestVersion: number,
		context: Context,
	): void {
		proposal.missingReads++;
		const isBaseMissing = newestVersion < proposal.value.version - 1;
		if (isBaseMissing && proposal.missingReads > maxMissingReads) {
			this.#refuseWithVersion(proposal, ErrorKind.VersionConflict, context);
		} else if (proposal.missingReads === 1) {
			this.#write(proposal, context);
		} else {
			proposal.missingReads = isBaseMissing ? proposal.missingReads : 0;
			proposal.retryAt = context.now + retryInterval;
		}
	}

	#onUnknownOutcome(proposal: Proposal, context: Context): void {
		if (!this.#dependencies.options.safeguards.readBack) {
			this.#refuseWithVersion(proposal, ErrorKind.VersionConflict, context);
			return;
		}

		proposal.mayBeWritten = true;
		this.#read(proposal, context);
	}

	#onStoreUnavailable(proposal: Proposal, context: Context): void {
		if (proposal.mayBeWritten) {
			proposal.retryAt = context.now + retryInterval;
			return;
		}

		this.#refusePending(proposal, ErrorKind.StoreUnavailable, [], context);
	}

	#write(proposal: Proposal, context: Context): void {
		this.#beginStoreOperation(proposal, context);
		context.emit({
			type: 'write-object',
			operationId: proposal.storeOperationId!,
			name: configurationObject,
			expectedVersion: proposal.value.version - 1,
			value: proposal.value,
		});
	}

	#read(proposal: Proposal, context: Context): void {
		this.#beginStoreOperation(proposal, context);
		context.emit({
			type: 'read-object',
			operationId: proposal.storeOperationId!,
			name: configurationObject,
		});
	}

	#beginStoreOperation(proposal: Proposal, context: Context): void {
		const count = this.#storeOperationCount++;
		proposal.storeOperationId = `proposal/${this.#dependencies.incarnation}/${count}`;
		proposal.retryAt = context.now + storeTimeout;
	}

	#answerAccepted(proposal: Proposal, context: Context): void {
		const {operationId, version} = proposal.value;
		this.#pending.delete(operationId);
		this.#dependencies.onAccepted(version, context);
		this.#answers.answer(
			{
				type: 'answer-operator',
				operationId,
				result: {kind: 'accepted', version},
			},
			context,
		);
	}

	#refuseWithVersion(
		proposal: Proposal,
		error: ErrorKind,
		context: Context,
	): void {
		const expected = proposal.value.version - 1;
		const newestVersion = this.#dependencies.history.version;
		const problem: Problem = {
			file: configurationObject,
			field: 'version',
			message: `The change is based on version ${expected}; the newest version is ${newestVersion}.`,
		};
		this.#refusePending(proposal, error, [problem], context);
	}

	#refusePending(
		proposal: Proposal,
		error: ErrorKind,
		problems: readonly Problem[],
		context: Context,
	): void {
		const {operationId} = proposal.value;
		this.#pending.delete(operationId);
		this.#refuse(operationId, error, problems, context);
	}

	#refuse(
		operationId: string,
		error: ErrorKind,
		problems: readonly Problem[],
		context: Context,
	): void {
		const {version} = this.#dependencies.history;
		const answer: Answer = {
			type: 'answer-operator',
			operationId,
			result: {kind: 'refused', error, version, problems},
		};
		// Not cached: the operation may be repeated after the outage.
		if (error === ErrorKind.StoreUnavailable) {
			context.emit(answer);
		} else {
			this.#answers.answer(answer, context);
		}
	}

	#findByStoreOperation(storeOperationId: string): Proposal | undefined {
		return [...this.#pending.values()].find(
			(proposal) => proposal.storeOperationId === storeOperationId,
		);
	}
}
