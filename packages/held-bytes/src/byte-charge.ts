import type {HeldBytesEntry} from './held-bytes-entry.js';

/** A part of an entry: the bytes that one buffer of a connection holds. */
export class ByteCharge {
	readonly #entry: HeldBytesEntry | undefined;
	#bytes = 0;

	/** Without an entry, nothing is accounted for. */
	constructor(entry: HeldBytesEntry | undefined) {
		this.#entry = entry;
	}

	add(bytes: number): void {
		this.set(this.#bytes + bytes);
	}

	/** Replaces the charged amount; at most everything is released. */
	set(bytes: number): void {
		const change = Math.max(0, bytes) - this.#bytes;
		this.#bytes += change;
		if (change > 0) {
			this.#entry?.add(change);
		} else if (change < 0) {
			this.#entry?.remove(-change);
		}
	}

	close(): void {
		this.set(0);
	}
}
