import type {Claim, ClaimListener} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {ClaimOutcome} from './claim-object.js';

/** Phases of a claim on the host that requests or holds it, in order; the last two are alternatives. */
export type ClaimPhase =
	/** Not granted yet; nothing may be sent. */
	| 'claiming'
	/** Granted; the request may be sent. */
	| 'held'
	/** The request did not run; the claim is being removed from the store. */
	| 'releasing'
	/** The request may have run; its outcome is being written to the store. */
	| 'completing';

/** A claim of this host in the store, from its first operation until it is settled. */
export type ClaimEntry = {
	readonly name: string;
	readonly claim: Claim;
	readonly claimedAt: Milliseconds;
	phase: ClaimPhase;
	/** Called once, then undefined. */
	listener: ClaimListener | undefined;
	/** Last known version of the object; 0 if there is none. */
	version: number;
	/** Store operation in flight; answers to earlier ones are ignored. */
	operationId: string | undefined;
	lastCallAt: Milliseconds;
	/** Whether an unconfirmed write of the claim may have taken effect. */
	mayBeWritten: boolean;
	outcome: ClaimOutcome | undefined;
	/** Whether this host wrote the object at `version`, so that it has to remove it after the retention period. */
	mustRemove: boolean;
};

/** Creates the entry of a claim before its first store operation. */
export function createClaimEntry(
	name: string,
	claim: Claim,
	listener: ClaimListener,
	now: Milliseconds,
): ClaimEntry {
	return {
		name,
		claim,
		claimedAt: now,
		phase: 'claiming',
		listener,
		version: 0,
		operationId: undefined,
		lastCallAt: now,
		mayBeWritten: false,
		outcome: undefined,
		mustRemove: false,
	};
}
