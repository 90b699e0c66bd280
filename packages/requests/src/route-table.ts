import type {Configuration, Route} from '@parsleyvale/shared';

/** Whether the prefix covers the path at a boundary between segments. */
function isCovered(path: string, prefix: string): boolean {
	if (!path.startsWith(prefix)) {
		return false;
	}

	return (
		prefix.endsWith('/') ||
		path.length === prefix.length ||
		path[prefix.length] === '/'
	);
}

/** The routes of one configuration, longest prefix first. */
export class RouteTable {
	readonly #routes: readonly Route[];

	constructor(configuration: Configuration) {
		this.#routes = configuration.routes.toSorted(
			(left, right) => right.pathPrefix.length - left.pathPrefix.length,
		);
	}

	/**
	 * The route with the longest prefix of the path.
	 *
	 * @example
	 * table.getLongest('/orders/7')?.name; // 'orders'
	 */
	getLongest(path: string): Route | undefined {
		return this.#routes.find((route) => isCovered(path, route.pathPrefix));
	}
}
