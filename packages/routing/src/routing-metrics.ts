import type {Context, AttemptResult, RoutingRequest} from '@parsleyvale/kernel';
import type {ErrorKind, Milliseconds} from '@parsleyvale/shared';
import type {Placement} from './placement.js';
import type {EjectionDecision} from './servers/ejection.js';

/** Counts a placement by pool and region. */
export function countChoice(placement: Placement, context: Context): void {
	context.emit({
		type: 'count',
		name: 'routing_choices_total',
		labels: {
			...toRegionLabels(placement),
			outcome: placement.shift === undefined ? 'placed' : 'shifted',
		},
		by: 1,
	});
}

export function countRefusal(
	request: RoutingRequest,
	kind: ErrorKind,
	context: Context,
): void {
	context.emit({
		type: 'count',
		name: 'routing_refusals_total',
		labels: {pool: request.route.pool, outcome: kind},
		by: 1,
	});
}

/** Counts and logs an ejection decision. */
export function emitEjection(
	placement: Placement,
	decision: EjectionDecision,
	context: Context,
): void {
	if (decision === 'kept') {
		return;
	}

	context.emit({
		type: 'count',
		name: 'routing_ejections_total',
		labels: {...toRegionLabels(placement), outcome: decision},
		by: 1,
	});
	if (decision === 'ejected' || decision === 'all-suspect') {
		context.emit({
			type: 'log',
			level: 'warn',
			message:
				decision === 'ejected'
					? 'Backend server ejected'
					: 'Too many backend servers are failing: ejections in the region cancelled',
			fields: {
				...toRegionLabels(placement),
				server: placement.serverState.server.name,
			},
		});
	}
}

export function emitResult(
	placement: Placement,
	result: AttemptResult,
	serviceTime: Milliseconds | undefined,
	context: Context,
): void {
	const labels = {...toRegionLabels(placement), outcome: result.outcome};
	context.emit({
		type: 'count',
		name: 'routing_attempts_total',
		labels,
		by: 1,
	});
	if (serviceTime !== undefined) {
		context.emit({
			type: 'observe',
			name: 'routing_service_milliseconds',
			labels,
			value: serviceTime,
		});
	}
}

function toRegionLabels(placement: Placement): {pool: string; region: string} {
	return {
		pool: placement.regionServers.pool,
		region: placement.regionServers.region,
	};
}
