/** Weight of the newest response in the moving average: about twenty responses count. */
const sizeGain = 0.05;

/** Estimates the length of each route's responses, which cross the link to the server. */
export class ResponseSizes {
	readonly #sizes = new Map<string, number>();

	/** Returns 0 for a route without a response so far. */
	get(routeName: string): number {
		return this.#sizes.get(routeName) ?? 0;
	}

	observe(routeName: string, bytes: number): void {
		const size = this.#sizes.get(routeName);
		this.#sizes.set(
			routeName,
			size === undefined ? bytes : size + sizeGain * (bytes - size),
		);
	}
}
