import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import {createServiceKey} from '../service-key.js';

export type Member = EntryHost & {
	/** When this host last heard from it, directly; undefined: never. */
	readonly heardAt: Milliseconds | undefined;
};

/** Which entry hosts are live, as far as this host can tell. */
export abstract class Membership {
	/** Live hosts, this one among them, in the order of their names. */
	abstract listLive(now: Milliseconds): readonly Member[];

	/** Every host known by the platform's list or by peers. */
	abstract listKnown(): readonly Member[];
}

export const membershipKey = createServiceKey<Membership>('membership');
