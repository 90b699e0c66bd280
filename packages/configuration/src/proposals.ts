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
import {toVerdict, type Proposal} from './proposal.js';
import {OperatorAnswers} from './operator-answers.js';
import type {Rules} from './options.js';
import type {VersionsInForce} from './versions-in-force.js';

/** @internal */
export const configurationObject = 'configuration';

const retryInterval: Milliseconds = 500;
const answerTimeout: Milliseconds = 10_000;
const staleReadsAllowed = 5;

type Answer = EffectOf<'answer-operator'>;

type Parts = {
	readonly incarnation: string;
	readonly rules: Rules;
	readonly versions: VersionsInForce;
	/** Puts a version that the store holds in force. */
	readonly onStored: (stored: VersionedConfiguration, context: Context) => void;
	/** Tells peers of a version that this host wrote. */
	readonly onAccepted: (version: number, context: Context) => void;
};

/**
 * Operators' changes: checks them, writes them by conditional update, and
 * finds out what became of a write whose answer was lost.
 *
 * @internal
 */
export class Proposals {
	readonly #parts: Parts;
	readonly #pending = new Map<string, Proposal>();
	readonly #answers = new OperatorAnswers();
	#callCount = 0;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	get hasPending(): boolean {
		return this.#pending.size > 0;
	}

	onProposed(event: ConfigurationProposed, context: Context): void {
		if (this.#answers.answerAgain(event.operationId, context)) {
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
		this.#begin(value, context);
	}

	onWritten(event: ObjectWritten, context: Context): void {
		const proposal = this.#findByCall(event.operationId);
		if (proposal === undefined) {
			return;
		}

		proposal.callId = undefined;
		switch (event.result.kind) {
			case 'written': {
				this.#parts.onStored(proposal.value, context);
				this.#answerAccepted(proposal, context);
				break;
			}

			case 'conflict': {
				this.#read(proposal, context);
				break;
			}

			case 'unknown': {
				this.#onUnknown(proposal, context);
				break;
			}

			case 'failed': {
				this.#onNotReached(proposal, context);
				break;
			}
		}
	}

	onRead(event: ObjectRead, context: Context): void {
		const proposal = this.#findByCall(event.operationId);
		if (proposal === undefined) {
			return;
		}

		proposal.callId = undefined;
		if (event.result.kind === 'failed') {
			this.#onNotReached(proposal, context);
			return;
		}

		const found =
			event.result.kind === 'found'
				? versionedConfigurationSchema.safeParse(event.result.object.value)
				: undefined;
		if (found?.success) {
			this.#parts.onStored(found.data, context);
		}

		this.#handleVerdict(proposal, found?.data?.version ?? 0, context);
	}

	onTick(context: Context): void {
		for (const proposal of this.#pending.values()) {
			if (proposal.retryAt !== undefined && context.now >= proposal.retryAt) {
				// The answer that was waited for may still come: it is ignored.
				proposal.mayBeWritten ||= proposal.callId !== undefined;
				this.#read(proposal, context);
			}
		}
	}

	#begin(value: VersionedConfiguration, context: Context): void {
		const proposal: Proposal = {
			value,
			callId: undefined,
			retryAt: undefined,
			mayBeWritten: false,
			staleReads: 0,
		};
		this.#pending.set(value.operationId, proposal);
		const {versions} = this.#parts;
		if (value.version > versions.version) {
			this.#write(proposal, context);
		} else {
			this.#handleVerdict(proposal, versions.version, context);
		}
	}

	#handleVerdict(
		proposal: Proposal,
		readVersion: number,
		context: Context,
	): void {
		const {versions} = this.#parts;
		const {value} = proposal;
		const newest = Math.max(versions.version, readVersion);
		const operation = versions.findOperation(value.version);
		switch (toVerdict(proposal, newest, operation)) {
			case 'accepted': {
				this.#answerAccepted(proposal, context);
				break;
			}

			case 'overtaken': {
				this.#refuseVersion(proposal, ErrorKind.VersionConflict, context);
				break;
			}

			case 'unknown': {
				this.#refuseVersion(proposal, ErrorKind.OutcomeUnknown, context);
				break;
			}

			case 'not-yet': {
				this.#retryWrite(proposal, newest, context);
				break;
			}
		}
	}

	/**
	 * The version is free, or the read was stale. Writing again is safe: the
	 * condition holds for one write only.
	 */
	#retryWrite(proposal: Proposal, newest: number, context: Context): void {
		proposal.staleReads++;
		const isAhead = newest < proposal.value.version - 1;
		if (isAhead && proposal.staleReads > staleReadsAllowed) {
			this.#refuseVersion(proposal, ErrorKind.VersionConflict, context);
		} else if (proposal.staleReads === 1) {
			this.#write(proposal, context);
		} else {
			proposal.staleReads = isAhead ? proposal.staleReads : 0;
			proposal.retryAt = context.now + retryInterval;
		}
	}

	#onUnknown(proposal: Proposal, context: Context): void {
		if (!this.#parts.rules.safeguards.readBack) {
			this.#refuseVersion(proposal, ErrorKind.VersionConflict, context);
			return;
		}

		proposal.mayBeWritten = true;
		this.#read(proposal, context);
	}

	#onNotReached(proposal: Proposal, context: Context): void {
		if (proposal.mayBeWritten) {
			proposal.retryAt = context.now + retryInterval;
			return;
		}

		this.#endRefused(proposal, ErrorKind.StoreUnavailable, [], context);
	}

	#write(proposal: Proposal, context: Context): void {
		this.#beginCall(proposal, context);
		context.emit({
			type: 'write-object',
			operationId: proposal.callId!,
			name: configurationObject,
			expectedVersion: proposal.value.version - 1,
			value: proposal.value,
		});
	}

	#read(proposal: Proposal, context: Context): void {
		this.#beginCall(proposal, context);
		context.emit({
			type: 'read-object',
			operationId: proposal.callId!,
			name: configurationObject,
		});
	}

	#beginCall(proposal: Proposal, context: Context): void {
		const count = this.#callCount++;
		proposal.callId = `proposal/${this.#parts.incarnation}/${count}`;
		proposal.retryAt = context.now + answerTimeout;
	}

	#answerAccepted(proposal: Proposal, context: Context): void {
		const {operationId, version} = proposal.value;
		this.#pending.delete(operationId);
		this.#parts.onAccepted(version, context);
		this.#answers.answer(
			{
				type: 'answer-operator',
				operationId,
				result: {kind: 'accepted', version},
			},
			context,
		);
	}

	#refuseVersion(proposal: Proposal, error: ErrorKind, context: Context): void {
		const expected = proposal.value.version - 1;
		const newest = this.#parts.versions.version;
		const problem: Problem = {
			file: configurationObject,
			field: 'version',
			message: `The change was made to version ${expected}; the newest is version ${newest}.`,
		};
		this.#endRefused(proposal, error, [problem], context);
	}

	#endRefused(
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
		const {version} = this.#parts.versions;
		const answer: Answer = {
			type: 'answer-operator',
			operationId,
			result: {kind: 'refused', error, version, problems},
		};
		// After an outage the same operation may be tried again.
		if (error === ErrorKind.StoreUnavailable) {
			context.emit(answer);
		} else {
			this.#answers.answer(answer, context);
		}
	}

	#findByCall(callId: string): Proposal | undefined {
		return [...this.#pending.values()].find(
			(proposal) => proposal.callId === callId,
		);
	}
}
