import type {RouteTarget, SteeringRoute} from './model.js';

/**
 * Distributes a route's requests over its targets by smooth weighted round-robin,
 * so that the shares of any sequence are exact to within one request.
 */
export class TrafficSplit {
	readonly #credits = new Map<string, Map<string, number>>();

	choose({name, targets}: SteeringRoute): RouteTarget {
		const [first] = targets;
		if (targets.length === 1) {
			return first!;
		}

		const credits = this.#credits.get(name) ?? new Map<string, number>();
		this.#credits.set(name, credits);
		const total = targets.reduce((sum, {weight}) => sum + weight, 0);
		let chosen = first!;
		for (const target of targets) {
			const credit = (credits.get(target.service) ?? 0) + target.weight;
			credits.set(target.service, credit);
			if (credit > credits.get(chosen.service)!) {
				chosen = target;
			}
		}

		credits.set(chosen.service, credits.get(chosen.service)! - total);
		return chosen;
	}
}
