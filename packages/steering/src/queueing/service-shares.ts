import {second, type Milliseconds} from '@parsleyvale/shared';

/** Time constant of the moving averages. */
const averagingSpan: Milliseconds = 4 * second;
/** Served fraction relative to the service's mean up to which a route gets no further disadvantage: above the required quarter, as the averages lag. */
const protectedShare = 0.3;
/** From this share on, a route may be disadvantaged fully. */
const unprotectedShare = 0.4;
/** Fewer recent requests say nothing about a route's share. */
const minimumRequests = 6;

type Counts = {decided: number; placed: number; at: Milliseconds};

/** Compares how often the requests of each route of a service are served. */
export class ServiceShares {
	readonly #services = new Map<string, Map<string, Counts>>();

	onPlaced(service: string, route: string, now: Milliseconds): void {
		const counts = this.#refresh(service, route, now);
		counts.decided += 1;
		counts.placed += 1;
	}

	/** A request ended without having been placed. */
	onRefused(service: string, route: string, now: Milliseconds): void {
		this.#refresh(service, route, now).decided += 1;
	}

	/**
	 * Computes how far the route may be disadvantaged: 0 if it is served so rarely
	 * that it must come first, 1 if there is no need to protect it.
	 */
	computeTolerance(service: string, route: string, now: Milliseconds): number {
		const {decided, placed} = this.#refresh(service, route, now);
		if (decided < minimumRequests) {
			return 1;
		}

		let allDecided = 0;
		let allPlaced = 0;
		for (const name of this.#services.get(service)!.keys()) {
			const counts = this.#refresh(service, name, now);
			allDecided += counts.decided;
			allPlaced += counts.placed;
		}

		const share = placed / decided / Math.max(allPlaced / allDecided, 0.01);
		const range = unprotectedShare - protectedShare;
		return Math.min(1, Math.max(0, (share - protectedShare) / range));
	}

	#refresh(service: string, route: string, now: Milliseconds): Counts {
		const routes = this.#services.get(service) ?? new Map<string, Counts>();
		this.#services.set(service, routes);
		const counts = routes.get(route) ?? {decided: 0, placed: 0, at: now};
		routes.set(route, counts);
		const factor = Math.exp((counts.at - now) / averagingSpan);
		counts.decided *= factor;
		counts.placed *= factor;
		counts.at = now;
		return counts;
	}
}
