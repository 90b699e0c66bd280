import type {SteeringRoute} from './model.js';

/** Finds the route of a host name and path by the longest matching prefix. */
export class RouteTable {
	readonly #routes = new Map<string, SteeringRoute[]>();

	constructor(routes: readonly SteeringRoute[]) {
		for (const route of routes) {
			const hostRoutes = this.#routes.get(route.hostName) ?? [];
			hostRoutes.push(route);
			this.#routes.set(route.hostName, hostRoutes);
		}

		for (const hostRoutes of this.#routes.values()) {
			hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}
	}

	findRoute(hostName: string, path: string): SteeringRoute | undefined {
		return this.#routes
			.get(hostName.toLowerCase())
			?.find((route) => path.startsWith(route.pathPrefix));
	}
}
