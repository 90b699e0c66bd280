import type {Configuration, Route} from '@parsleyvale/shared';

const slashPattern = String.raw`(?:\/|\\|%2f|%5c)`;
const dotsPattern = String.raw`(?:\.|%2e){1,2}`;
const dotSegmentPattern = new RegExp(
	`${slashPattern}${dotsPattern}(?:${slashPattern}|$)`,
	'i',
);

/**
 * Whether the path has a dot segment, plain or encoded. A server could resolve it
 * to a path of another route, so that a public route would bypass the access check
 * of that route. Such paths match no route.
 */
function hasDotSegment(path: string): boolean {
	return dotSegmentPattern.test(path);
}

/** Whether the prefix matches the path and ends at a segment boundary. */
function matchesPrefix(path: string, prefix: string): boolean {
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
	 * Finds the route with the longest prefix that matches the path.
	 *
	 * @example
	 * table.findLongestMatch('/orders/7')?.name; // 'orders'
	 */
	findLongestMatch(path: string): Route | undefined {
		if (hasDotSegment(path)) {
			return undefined;
		}

		return this.#routes.find((route) => matchesPrefix(path, route.pathPrefix));
	}
}
