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
	readonly #names: string[] = [];

	findVersion(host: string): number | undefined {
		return this.#entries.get(host)?.version;
	}

	set(host: string, version: number, saidAt: Milliseconds): void {
		const before = this.#entries.get(host);
		if (before === undefined) {
			this.#names.push(host);
		}

		if (before === undefined || before.saidAt <= saidAt) {
			this.#entries.set(host, {version, saidAt});
		}
	}

	list(now: Milliseconds): VersionOfHost[] {
		return [...this.#entries]
			.map(([host, entry]) => ({
				host,
				version: entry.version,
				age: Math.max(0, now - entry.saidAt),
			}))
			.sort((a, b) => (a.host < b.host ? -1 : 1));
	}

	/** Some of the entries, to pass on where not all hosts talk to all. */
	sample(
		count: number,
		random: () => number,
		now: Milliseconds,
	): HostVersion[] {
		const names = new Set<string>();
		for (let drawn = 0; drawn < count && this.#names.length > 0; drawn++) {
			names.add(this.#names[Math.floor(random() * this.#names.length)]!);
		}

		return [...names].map((name) => {
			const {version, saidAt} = this.#entries.get(name)!;
			return {name, version, ageMs: Math.max(0, Math.round(now - saidAt))};
		});
	}
}
