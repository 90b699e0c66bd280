import type {EntryHost, Milliseconds} from '@parsleyvale/shared';

/** JSON body of a look-up response, described in `docs/CALLERS.md`. */
export type LookUpAnswer = {
	readonly lifetimeMs: Milliseconds;
	/** In order of preference. */
	readonly hosts: ReadonlyArray<{
		readonly name: string;
		readonly region: string;
		readonly failureDomain: string;
		readonly address: string;
		readonly port: number;
	}>;
	/** Prefix of idempotency keys whose claims this host keeps itself. */
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
