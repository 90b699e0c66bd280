import type {Milliseconds} from '@parsleyvale/shared';
import type {HostVersion} from './messages.js';

/** Which version of the configuration a host has in force. */
export type VersionOfHost = {
	readonly host: string;
	readonly version: number;
	/** How long ago the host said so. */
	readonly age: Milliseconds;
};

type Entry = {readonly version: number; readonly saidAt: Milliseconds};

/**
 * The versions in force on all hosts, as far as this one has heard.
 *
 * @internal
 */
export class HostVersions {
	readonly #entries = new Map<string, Entry>();

	get newest(): number {
		return Math.max(
			0,
			...[...this.#entries.values()].map((entry) => entry.version),
		);
	}

	findVersion(host: string): number | undefined {
		return this.#entries.get(host)?.version;
	}

	set(host: string, version: number, saidAt: Milliseconds): void {
		const before = this.#entries.get(host);
		if (before === undefined || before.saidAt <= saidAt) {
			this.#entries.set(host, {version, saidAt});
		}
	}

	remove(host: string): void {
		this.#entries.delete(host);
	}

	list(now: Milliseconds): VersionOfHost[] {
		return [...this.#entries]
			.map(([host, entry]) => ({
				host,
				version: entry.version,
				age: Math.max(0, now - entry.saidAt),
			}))
			.sort((a, b) => a.host.localeCompare(b.host));
	}

	/** Some of the entries, to pass on where not all hosts talk to all. */
	sample(
		count: number,
		random: () => number,
		now: Milliseconds,
	): HostVersion[] {
		const all = this.list(now);
		const start = Math.floor(random() * all.length);
		return [...all.slice(start), ...all.slice(0, start)]
			.slice(0, count)
			.map(({host, version, age}) => ({name: host, version, ageMs: age}));
	}
}
