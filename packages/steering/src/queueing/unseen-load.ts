/** Weight of the newest answer in the moving average: about twenty answers count. */
const gain = 0.05;

/**
 * Mean load that servers of a service state beyond what this host expected there.
 * It rises when digests are lost or other hosts are cut off, whose requests then
 * take slots that look free.
 */
export class UnseenLoad {
	readonly #means = new Map<string, number>();

	/** A server has stated its load. */
	onLoadStated(service: string, stated: number, expected: number): void {
		const mean = this.#means.get(service) ?? 0;
		this.#means.set(service, mean + gain * (stated - expected - mean));
	}

	/** Returns the requests that are likely at a server beyond its known load. */
	get(service: string): number {
		return Math.max(0, this.#means.get(service) ?? 0);
	}
}
