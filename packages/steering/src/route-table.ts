import type {SteeringRoute} from './model.js';

/** Finds the route of a host name and path: the longest prefix decides. */
export class RouteTable {
	readonly #routes = new Map<string, SteeringRoute[]>();

	constructor(routes: readonly SteeringRoute[]) {
		for (const route of routes) {
			const ofHost = this.#routes.get(route.hostName) ?? [];
			ofHost.push(route);
			this.#routes.set(route.hostName, ofHost);
		}

		for (const ofHost of this.#routes.values()) {
			ofHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}
	}

	findRoute(hostName: string, path: string): SteeringRoute | undefined {
		return this.#routes
			.get(hostName.toLowerCase())
			?.find((route) => path.startsWith(route.pathPrefix));
	}
}
