import type {Context, RequestArrived} from '@parsleyvale/kernel';
import type {Configuration, ErrorKind} from '@parsleyvale/shared';
import {RequestMetrics, type MeasuredRequest} from './request-metrics.js';
import type {RouteTable} from './route-table.js';

/** Reports the end of requests to callers, metrics and other plug-ins. */
export class EndReporter {
	readonly #metrics = new RequestMetrics();

	applyConfiguration(configuration: Configuration): void {
		this.#metrics.applyConfiguration(configuration);
	}

	/** Reports the end of a request; an undefined kind means that it was answered. */
	report(
		request: MeasuredRequest & {readonly arrival: RequestArrived},
		kind: ErrorKind | undefined,
		context: Context,
	): void {
		const {requestId} = request.arrival;
		if (kind !== undefined) {
			context.emit({type: 'refuse', requestId, kind, retryAfter: undefined});
		}

		this.#metrics.observe(request, kind, context);
		context.raise({type: 'request-ended', requestId, kind});
	}

	/** Reports the refusal of a request on arrival. */
	refuse(
		arrival: RequestArrived,
		routes: RouteTable | undefined,
		kind: ErrorKind,
		context: Context,
	): void {
		const route = routes?.findLongestMatch(arrival.path);
		// The customer is not identified yet: counted under the shared label.
		const measured = {route, customer: '', arrivedAt: context.now};
		this.report({...measured, arrival}, kind, context);
	}
}
