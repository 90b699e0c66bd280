import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import {createServiceKey} from '../service-key.js';

/** An entry host as known to this host. */
export type Member = EntryHost & {
	/** Time of the last message received directly from it; undefined if none. */
	readonly lastHeardAt: Milliseconds | undefined;
};

/** This host's view of the fleet's entry hosts. */
export abstract class Membership {
	/** Lists the live hosts, including this one, sorted by name. */
	abstract listLive(now: Milliseconds): readonly Member[];

	/** Lists all hosts known from the platform's list or from peers. */
	abstract listKnown(): readonly Member[];
}

export const membershipKey = createServiceKey<Membership>('membership');
