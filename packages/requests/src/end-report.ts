import type {Context, RequestArrived} from '@parsleyvale/kernel';
import type {Configuration, ErrorKind} from '@parsleyvale/shared';
import {RequestMetrics, type MeasuredRequest} from './request-metrics.js';
import type {RouteTable} from './route-table.js';

/** Tells callers, metrics and other plug-ins how requests ended. */
export class EndReport {
	readonly #metrics = new RequestMetrics();

	apply(configuration: Configuration): void {
		this.#metrics.apply(configuration);
	}

	/** Reports the end of a request; without a kind it was answered. */
	end(
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

	/** Refuses a request at its arrival. */
	refuse(
		arrival: RequestArrived,
		routes: RouteTable | undefined,
		kind: ErrorKind,
		context: Context,
	): void {
		const route = routes?.getLongest(arrival.path);
		// Not identified: its label is that of customers without their own.
		const measured = {route, customer: '', arrivedAt: context.now};
		this.end({...measured, arrival}, kind, context);
	}
}
