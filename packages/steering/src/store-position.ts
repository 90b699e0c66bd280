import * as z from 'zod';

/**
 * A state of the platform's store: its revision, and the era in which the revision
 * was given out. A store that returns from an older copy begins a new era, in which
 * it gives out lower revisions once more.
 */
export const storePositionSchema = z.object({
	era: z.int().min(0),
	/** -1: the store has not been read yet. */
	revision: z.int().min(-1),
});

export type StorePosition = z.infer<typeof storePositionSchema>;

/** The position before the store is read for the first time. */
export const unreadPosition: StorePosition = {era: 0, revision: -1};

/**
 * Compares two positions, first by era; negative if `a` is the older one.
 *
 * @example
 * comparePositions({era: 2, revision: 1}, {era: 1, revision: 9}); // 1
 */
export function comparePositions(a: StorePosition, b: StorePosition): number {
	return a.era === b.era ? a.revision - b.revision : a.era - b.era;
}

/**
 * Formats a position for logs and as a part of a query.
 *
 * @example
 * formatPosition({era: 2, revision: 57}); // '2/57'
 */
export function formatPosition({era, revision}: StorePosition): string {
	return `${era}/${revision}`;
}
