import type {Choice, Effect} from '@parsleyvale/kernel';
import type {Configuration, Milliseconds, Server} from '@parsleyvale/shared';
import {retryRatio, initialRetryTokens} from '../../src/retry-budget.js';

/** A choice recorded by the oracle. */
export type ObservedChoice = {
	readonly host: number;
	readonly choice: Choice;
	readonly at: Milliseconds;
	readonly isShifted: boolean;
	hasEnded: boolean;
	wasSent: boolean;
};

const minimumEjectionTime: Milliseconds = 1000;

/** Reference model of a fleet that checks the limits of the plug-ins. */
export class FleetOracle {
	readonly choices: ObservedChoice[] = [];
	readonly firstAttempts = new Map<number, number>();
	readonly retries = new Map<number, number>();
	leaving: readonly string[] = [];
	#configuration: Configuration;
	readonly #ejected = new Map<string, Milliseconds>();

	constructor(configuration: Configuration) {
		this.#configuration = configuration;
	}

	get running(): ObservedChoice[] {
		return this.choices.filter((observed) => !observed.hasEnded);
	}

	setConfiguration(configuration: Configuration): void {
		this.#configuration = configuration;
	}

	/** Records ejections from log lines. */
	onEffects(host: number, effects: readonly Effect[], now: Milliseconds): void {
		for (const effect of effects) {
			if (effect.type !== 'log') {
				continue;
			}

			if (effect.message === 'Backend server ejected') {
				this.#ejected.set(`${host} ${effect.fields.server}`, now);
			} else if (effect.message.startsWith('Too many backend servers')) {
				this.#ejected.clear();
			}
		}
	}

	checkChoice(observed: ObservedChoice, now: Milliseconds): string[] {
		const {server} = observed.choice;
		const violations: string[] = [];
		if (this.#isDrained(server)) {
			violations.push(`${server.name} is drained but received a request`);
		}

		const ejectedAt = this.#ejected.get(`${observed.host} ${server.name}`);
		if (ejectedAt !== undefined && now < ejectedAt + minimumEjectionTime) {
			violations.push(`${server.name} is ejected but received a request`);
		}

		const inRegion = this.running.filter(
			(other) => other.choice.server.region === server.region,
		);
		if (inRegion.length > this.#computeCapacity(server.region)) {
			violations.push(`${server.region} is over its room`);
		}

		const atServer = inRegion.filter(
			(other) =>
				other.host === observed.host &&
				other.choice.server.name === server.name,
		);
		if (atServer.length > server.slots) {
			violations.push(`${server.name} is over its slots`);
		}

		return violations;
	}

	checkRetries(host: number): string[] {
		const firstAttempts = this.firstAttempts.get(host) ?? 0;
		const allowed = initialRetryTokens + retryRatio * firstAttempts + 1e-9;
		return (this.retries.get(host) ?? 0) > allowed
			? [`host ${host} is over its retries`]
			: [];
	}

	/**
	 * Checks every window between two shifted requests against rate and burst.
	 */
	checkShift(perSecond: number, burst: number): string[] {
		const times = this.choices
			.filter((observed) => observed.isShifted && observed.wasSent)
			.map((observed) => observed.at);
		for (const [firstIndex, windowStart] of times.entries()) {
			for (const [offset, windowEnd] of times.slice(firstIndex).entries()) {
				const allowed =
					burst + ((windowEnd - windowStart) / 1000) * perSecond + 1e-6;
				if (offset + 1 > allowed) {
					return ['the shift is over its cap'];
				}
			}
		}

		return [];
	}

	#computeCapacity(region: string): number {
		const pool = this.#configuration.pools[0]!;
		const slots = pool.servers
			.filter((server) => server.region === region && !this.#isDrained(server))
			.reduce((sum, server) => sum + server.slots, 0);
		return Math.max(1, Math.floor(slots * (1 - pool.headroom)));
	}

	#isDrained(server: Server): boolean {
		return (
			this.leaving.includes(server.name) ||
			this.#configuration.drains.some(
				({target}) =>
					(target.kind === 'server' && target.name === server.name) ||
					(target.kind === 'region' && target.name === server.region) ||
					(target.kind === 'failure-domain' &&
						target.region === server.region &&
						target.name === server.failureDomain),
			)
		);
	}
}
