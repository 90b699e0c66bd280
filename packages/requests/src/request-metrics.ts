import type {Context} from '@parsleyvale/kernel';
import type {
	Configuration,
	ErrorKind,
	Milliseconds,
	Route,
} from '@parsleyvale/shared';
import {maximumCustomerLabels} from './limits.js';

const otherLabel = 'other';
const openLabel = 'open';

/** What of a request its metrics tell. */
export type MeasuredRequest = {
	readonly route: Route | undefined;
	/** Undefined on open routes. */
	readonly customer: string | undefined;
	readonly arrivedAt: Milliseconds;
};

/** Counters and histograms of requests, with a bounded number of labels. */
export class RequestMetrics {
	#labelled = new Set<string>();

	/** Gives labels to the customers of a configuration, as far as they reach. */
	apply(configuration: Configuration): void {
		const names = configuration.customers.map((customer) => customer.name);
		this.#labelled = new Set(names.slice(0, maximumCustomerLabels));
	}

	/** Counts the end of a request and observes how long it took. */
	observe(
		request: MeasuredRequest,
		kind: ErrorKind | undefined,
		context: Context,
	): void {
		const labels = {
			customer: this.#toLabel(request.customer),
			class: request.route?.class ?? otherLabel,
		};
		context.emit({
			type: 'count',
			name: 'requests_total',
			labels: {...labels, kind: kind ?? 'answered'},
			by: 1,
		});
		context.emit({
			type: 'observe',
			name: 'request_duration_milliseconds',
			labels,
			value: context.now - request.arrivedAt,
		});
	}

	#toLabel(customer: string | undefined): string {
		if (customer === undefined) {
			return openLabel;
		}

		return this.#labelled.has(customer) ? customer : otherLabel;
	}
}
