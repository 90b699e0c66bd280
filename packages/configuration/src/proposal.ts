import type {Milliseconds, VersionedConfiguration} from '@parsleyvale/shared';

/**
 * A configuration change that is being written to the store.
 *
 * @internal
 */
export type Proposal = {
	/** The value to store. */
	readonly value: VersionedConfiguration;
	/** Id of the store operation in flight; undefined if there is none. */
	storeOperationId: string | undefined;
	/** When to read from the store again; undefined if no read is scheduled. */
	retryAt: Milliseconds | undefined;
	/** Whether a write was sent of which the outcome is unknown. */
	mayBeWritten: boolean;
	/**
	 * Consecutive reads in which the version was still missing from the store.
	 * Counted anew after a retried write if the store holds the base version.
	 */
	missingReads: number;
};

/** @internal */
export type ProposalOutcome =
	| 'accepted'
	/** Another change created this version; this one was not applied. */
	| 'overtaken'
	/** The version exists, but this host does not know which change created it. */
	| 'unknown'
	/** The store does not hold the version yet. */
	| 'not-yet';

/**
 * The outcome of a proposal, given the newest known version and, if known, the
 * operation that created the proposed version.
 *
 * @internal
 */
export function toOutcome(
	proposal: Proposal,
	newestVersion: number,
	operation: string | undefined,
): ProposalOutcome {
	if (operation === proposal.value.operationId) {
		return 'accepted';
	}

	if (operation !== undefined) {
		return 'overtaken';
	}

	if (newestVersion < proposal.value.version) {
		return 'not-yet';
	}

	// The operation may have been repeated at another host, which applied it.
	return 'unknown';
}
