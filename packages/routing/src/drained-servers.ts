import type {Configuration, Server, ServerName} from '@parsleyvale/shared';

/**
 * Backend servers that receive no new requests because they are drained or
 * leaving.
 */
export class DrainedServers {
	readonly #servers: ReadonlySet<string>;
	readonly #failureDomains: ReadonlySet<string>;
	readonly #regions: ReadonlySet<string>;
	readonly #leaving: ReadonlySet<ServerName>;

	constructor(configuration: Configuration, leaving: ReadonlySet<ServerName>) {
		const targets = configuration.drains
			.filter((drain) => drain.state === 'running')
			.map((drain) => drain.target);
		this.#servers = new Set(
			targets.flatMap((target) =>
				target.kind === 'server' ? [target.name] : [],
			),
		);
		this.#failureDomains = new Set(
			targets.flatMap((target) =>
				target.kind === 'failure-domain'
					? [toFailureDomainKey(target.region, target.name)]
					: [],
			),
		);
		this.#regions = new Set(
			targets.flatMap((target) =>
				target.kind === 'region' ? [target.name] : [],
			),
		);
		this.#leaving = leaving;
	}

	hasServer(server: Server): boolean {
		return (
			this.#servers.has(server.name) ||
			this.#leaving.has(server.name) ||
			this.#regions.has(server.region) ||
			this.#failureDomains.has(
				toFailureDomainKey(server.region, server.failureDomain),
			)
		);
	}

	hasRegion(region: string): boolean {
		return this.#regions.has(region);
	}
}

function toFailureDomainKey(region: string, failureDomain: string): string {
	return `${region}/${failureDomain}`;
}
