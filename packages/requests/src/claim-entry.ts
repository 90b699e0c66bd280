import type {Claim, ClaimListener} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {ClaimEnding} from './claim-object.js';

/** Where a claim stands on the host that wants or holds it. */
export type ClaimPhase =
	/** Not granted yet; nothing may be sent. */
	| 'claiming'
	/** Granted; the request may be sent. */
	| 'held'
	/** The request did not run: the object is being given up. */
	| 'releasing'
	/** The request is over: its ending is being written. */
	| 'completing';

/** One claim of this host, from the first try until the store has its end. */
export type ClaimEntry = {
	readonly name: string;
	readonly claim: Claim;
	readonly claimedAt: Milliseconds;
	phase: ClaimPhase;
	/** Called once; undefined afterwards. */
	listener: ClaimListener | undefined;
	/** Version of the object as last known; 0: none. */
	version: number;
	/** The call to the store that is not answered; later answers are ignored. */
	operationId: string | undefined;
	calledAt: Milliseconds;
	/** Whether a write of the claim may be in force although nobody said so. */
	mayBeWritten: boolean;
	ending: ClaimEnding | undefined;
	/** Whether the object, at its version, is this host's to remove one day. */
	isOwned: boolean;
};

/** A claim that is wanted and not yet asked for. */
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
		calledAt: now,
		mayBeWritten: false,
		ending: undefined,
		isOwned: false,
	};
}
