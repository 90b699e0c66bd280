import type {ConfigurationView, RequestArrived} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds, type Route} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import {createLiveRequest, type LiveRequest} from './live-request.js';
import type {RouteTable} from './route-table.js';

type Checked<Value> = Result<Value, ErrorKind>;

function findRoute(
	routes: RouteTable,
	arrival: RequestArrived,
): Checked<Route> {
	const route = routes.getLongest(arrival.path);
	if (route === undefined) {
		return Result.err(ErrorKind.NoRoute);
	}

	return route.methods.includes(arrival.method)
		? Result.ok(route)
		: Result.err(ErrorKind.MethodNotAllowed);
}

/**
 * The customer whose key came with the request. A key sent to an open route is
 * not looked at: it must not decide for whom the request runs.
 */
export function identifyCustomer(
	view: ConfigurationView,
	route: Route,
	keyHash: string | undefined,
	now: Milliseconds,
): Checked<string | undefined> {
	if (route.access === 'open') {
		return Result.ok(undefined);
	}

	return keyHash === undefined
		? Result.err(ErrorKind.KeyMissing)
		: view.identify(keyHash, now);
}

/** The checks that need no budget, place or claim. */
export function checkArrival(
	view: ConfigurationView,
	routes: RouteTable | undefined,
	arrival: RequestArrived,
	now: Milliseconds,
): Checked<LiveRequest> {
	if (routes === undefined) {
		return Result.err(ErrorKind.NotConfigured);
	}

	const route = findRoute(routes, arrival);
	if (route.isErr) {
		return Result.err(route.error);
	}

	const customer = identifyCustomer(view, route.value, arrival.keyHash, now);
	if (customer.isErr) {
		return Result.err(customer.error);
	}

	const deadline = Math.min(
		now + route.value.deadlineMs,
		arrival.deadline ?? Number.POSITIVE_INFINITY,
	);
	if (deadline <= now) {
		return Result.err(ErrorKind.DeadlineTooShort);
	}

	return Result.ok(
		createLiveRequest({
			arrival,
			arrivedAt: now,
			route: route.value,
			customer: customer.value,
			deadline,
		}),
	);
}
