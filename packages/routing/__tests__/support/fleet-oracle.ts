import type {Choice, Effect} from '@parsleyvale/kernel';
import type {Configuration, Milliseconds, Server} from '@parsleyvale/shared';
import {retryFraction, retryReserve} from '../../src/retry-budget.js';

/** A choice as the oracle saw it being made. */
export type SeenChoice = {
	readonly host: number;
	readonly choice: Choice;
	readonly at: Milliseconds;
	readonly shift: boolean;
	isOver: boolean;
	wasSent: boolean;
};

const shortestEjection: Milliseconds = 1000;

/** A simple account of a fleet, kept beside the plug-ins. */
export class FleetOracle {
	readonly choices: SeenChoice[] = [];
	readonly firstAttempts = new Map<number, number>();
	readonly retries = new Map<number, number>();
	leaving: readonly string[] = [];
	#configuration: Configuration;
	readonly #ejected = new Map<string, Milliseconds>();

	constructor(configuration: Configuration) {
		this.#configuration = configuration;
	}

	get running(): SeenChoice[] {
		return this.choices.filter((seen) => !seen.isOver);
	}

	setConfiguration(configuration: Configuration): void {
		this.#configuration = configuration;
	}

	/** Learns of ejections from the log. */
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

	checkChoice(seen: SeenChoice, now: Milliseconds): string[] {
		const {server} = seen.choice;
		const problems: string[] = [];
		if (this.#isDrained(server)) {
			problems.push(`${server.name} is drained and got a request`);
		}

		const ejectedAt = this.#ejected.get(`${seen.host} ${server.name}`);
		if (ejectedAt !== undefined && now < ejectedAt + shortestEjection) {
			problems.push(`${server.name} is ejected and got a request`);
		}

		const here = this.running.filter(
			(other) => other.choice.server.region === server.region,
		);
		if (here.length > this.#computeRoom(server.region)) {
			problems.push(`${server.region} is over its room`);
		}

		const own = here.filter(
			(other) =>
				other.host === seen.host && other.choice.server.name === server.name,
		);
		if (own.length > server.slots) {
			problems.push(`${server.name} is over its slots`);
		}

		return problems;
	}

	checkRetries(host: number): string[] {
		const first = this.firstAttempts.get(host) ?? 0;
		const allowed = retryReserve + retryFraction * first + 1e-9;
		return (this.retries.get(host) ?? 0) > allowed
			? [`host ${host} is over its retries`]
			: [];
	}

	/** Every window between two moved requests against rate and burst. */
	checkShift(perSecond: number, burst: number): string[] {
		const times = this.choices
			.filter((seen) => seen.shift && seen.wasSent)
			.map((seen) => seen.at);
		for (const [first, start] of times.entries()) {
			for (const [more, end] of times.slice(first).entries()) {
				const allowed = burst + ((end - start) / 1000) * perSecond + 1e-6;
				if (more + 1 > allowed) {
					return ['the shift is over its cap'];
				}
			}
		}

		return [];
	}

	#computeRoom(region: string): number {
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
