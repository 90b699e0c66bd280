import type {Context} from '@parsleyvale/kernel';
import type {
	Configuration,
	ErrorKind,
	Milliseconds,
	Route,
} from '@parsleyvale/shared';
import {maximumCustomerLabels} from './limits.js';

const otherLabel = 'other';
const publicRouteLabel = 'open';

/** Properties of a request that appear in its metrics. */
export type MeasuredRequest = {
	readonly route: Route | undefined;
	/** Undefined on public routes. */
	readonly customer: string | undefined;
	readonly arrivedAt: Milliseconds;
};

/** Request counters and histograms with bounded label cardinality. */
export class RequestMetrics {
	#labelledCustomers = new Set<string>();

	/** Assigns labels to the first customers of the configuration. */
	applyConfiguration(configuration: Configuration): void {
		const names = configuration.customers.map((customer) => customer.name);
		this.#labelledCustomers = new Set(names.slice(0, maximumCustomerLabels));
	}

	/** Counts the end of a request and observes its duration; packages/steering names the metrics `requests` and `request_ms`. */
	observe(
		request: MeasuredRequest,
		kind: ErrorKind | undefined,
		context: Context,
	): void {
		const customer = this.#toLabel(request.customer);
		const routeClass = request.route?.class ?? otherLabel;
		context.emit({
			type: 'count',
			name: 'requests_total',
			labels: {customer, class: routeClass, kind: kind ?? 'answered'},
			by: 1,
		});
		context.emit({
			type: 'observe',
			name: 'request_duration_milliseconds',
			labels: {customer, class: routeClass},
			value: context.now - request.arrivedAt,
		});
	}

	#toLabel(customer: string | undefined): string {
		if (customer === undefined) {
			return publicRouteLabel;
		}

		return this.#labelledCustomers.has(customer) ? customer : otherLabel;
	}
}
