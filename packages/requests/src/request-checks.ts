import type {ConfigurationView, RequestArrived} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds, type Route} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import {LiveRequest} from './live-request.js';
import type {RouteTable} from './route-table.js';

type CheckResult<Value> = Result<Value, ErrorKind>;

function findRoute(
	routes: RouteTable,
	arrival: RequestArrived,
): CheckResult<Route> {
	const route = routes.findLongestMatch(arrival.path);
	if (route === undefined) {
		return Result.err(ErrorKind.NoRoute);
	}

	return route.methods.includes(arrival.method)
		? Result.ok(route)
		: Result.err(ErrorKind.MethodNotAllowed);
}

/**
 * Identifies the customer by the API key of the request. On public routes (access
 * `open`) a key is ignored: it must not determine for whom the request runs.
 */
export function identifyCustomer(
	view: ConfigurationView,
	route: Route,
	keyHash: string | undefined,
	now: Milliseconds,
): CheckResult<string | undefined> {
	if (route.access === 'open') {
		return Result.ok(undefined);
	}

	return keyHash === undefined
		? Result.err(ErrorKind.KeyMissing)
		: view.identify(keyHash, now);
}

/** Performs the checks that require no budget, claim or backend server. */
export function checkArrival(
	view: ConfigurationView,
	routes: RouteTable | undefined,
	arrival: RequestArrived,
	now: Milliseconds,
): CheckResult<LiveRequest> {
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
		new LiveRequest({
			arrival,
			arrivedAt: now,
			route: route.value,
			customer: customer.value,
			deadline,
		}),
	);
}
