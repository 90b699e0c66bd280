import type {Milliseconds, VersionedConfiguration} from '@parsleyvale/shared';

/**
 * An operator's change on its way to the store.
 *
 * @internal
 */
export type Proposal = {
	/** What the store holds once the change is accepted. */
	readonly value: VersionedConfiguration;
	/** The call to the store that is waited for. */
	callId: string | undefined;
	/** When to ask the store again; undefined while an answer is waited for. */
	retryAt: Milliseconds | undefined;
	/** Whether a write went out whose answer never came. */
	mayBeWritten: boolean;
	/** Reads that came back older than what the store must hold. */
	staleReads: number;
};

/** @internal */
export type Verdict =
	| 'accepted'
	/** Another change has this version: this one was not applied. */
	| 'overtaken'
	/** The version has come and gone; who made it is not known here. */
	| 'unknown'
	/** The store does not have the version yet. */
	| 'not-yet';

/**
 * What became of a proposal, given the newest version known of and the
 * operation that made the proposal's version, if that is known.
 *
 * @internal
 */
export function toVerdict(
	proposal: Proposal,
	newestVersion: number,
	operation: string | undefined,
): Verdict {
	if (operation === proposal.value.operationId) {
		return 'accepted';
	}

	if (operation !== undefined) {
		return 'overtaken';
	}

	if (newestVersion < proposal.value.version) {
		return 'not-yet';
	}

	// Another host may have been asked to apply it and have done so.
	return 'unknown';
}
