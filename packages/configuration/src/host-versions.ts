import type {Milliseconds} from '@parsleyvale/shared';
import type {HostVersion} from './messages.js';

/** The configuration version that is active on a host. */
export type ObservedVersion = {
	readonly host: string;
	readonly version: number;
	/** Time since the host reported the version. */
	readonly age: Milliseconds;
};

type Entry = {readonly version: number; readonly reportedAt: Milliseconds};

/**
 * The active version of each host, as last reported to this one.
 *
 * @internal
 */
export class HostVersions {
	readonly #entries = new Map<string, Entry>();
	readonly #names: string[] = [];

	findVersion(host: string): number | undefined {
		return this.#entries.get(host)?.version;
	}

	set(host: string, version: number, reportedAt: Milliseconds): void {
		const before = this.#entries.get(host);
		if (before === undefined) {
			this.#names.push(host);
		}

		if (before === undefined || before.reportedAt <= reportedAt) {
			this.#entries.set(host, {version, reportedAt});
		}
	}

	list(now: Milliseconds): ObservedVersion[] {
		return [...this.#entries]
			.map(([host, entry]) => ({
				host,
				version: entry.version,
				age: Math.max(0, now - entry.reportedAt),
			}))
			.sort((a, b) => (a.host < b.host ? -1 : 1));
	}

	/** A random sample of entries, gossiped in fleets without all-to-all polling. */
	sample(
		count: number,
		random: () => number,
		now: Milliseconds,
	): HostVersion[] {
		const names = new Set<string>();
		for (let draw = 0; draw < count && this.#names.length > 0; draw++) {
			names.add(this.#names[Math.floor(random() * this.#names.length)]!);
		}

		return [...names].map((name) => {
			const {version, reportedAt} = this.#entries.get(name)!;
			return {name, version, ageMs: Math.max(0, Math.round(now - reportedAt))};
		});
	}
}
