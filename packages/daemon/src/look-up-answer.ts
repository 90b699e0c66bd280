import type {EntryHost, Milliseconds} from '@parsleyvale/shared';

/** What a look-up tells a caller; `docs/CALLERS.md` describes it. */
export type LookUpAnswer = {
	readonly lifetimeMs: Milliseconds;
	/** Best first. */
	readonly hosts: ReadonlyArray<{
		readonly name: string;
		readonly region: string;
		readonly failureDomain: string;
		readonly address: string;
		readonly port: number;
	}>;
	/** Begins an Idempotency-Key that this host remembers itself. */
	readonly idempotencyKeyPrefix: string;
};

export function toLookUpAnswer(
	hosts: readonly EntryHost[],
	lifetime: Milliseconds,
	idempotencyKeyPrefix: string,
): LookUpAnswer {
	return {
		lifetimeMs: lifetime,
		hosts: hosts.map(({name, region, failureDomain, callers}) => ({
			name,
			region,
			failureDomain,
			...callers,
		})),
		idempotencyKeyPrefix,
	};
}
