import type {Context, Ending, RoutingRequest} from '@parsleyvale/kernel';
import type {ErrorKind, Milliseconds} from '@parsleyvale/shared';
import type {Placement} from './placement.js';
import type {EjectionVerdict} from './servers/ejection.js';

/** Counts a choice by the region it went to. */
export function countChoice(placement: Placement, context: Context): void {
	context.emit({
		type: 'count',
		name: 'routing_choices_total',
		labels: {
			...toPlaceLabels(placement),
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

/** Counts an ejection and tells the operator of it. */
export function emitEjection(
	placement: Placement,
	verdict: EjectionVerdict,
	context: Context,
): void {
	if (verdict === 'kept') {
		return;
	}

	context.emit({
		type: 'count',
		name: 'routing_ejections_total',
		labels: {...toPlaceLabels(placement), outcome: verdict},
		by: 1,
	});
	if (verdict === 'ejected' || verdict === 'all-suspect') {
		context.emit({
			type: 'log',
			level: 'warn',
			message:
				verdict === 'ejected'
					? 'Backend server ejected'
					: 'Too many backend servers fail: ejections of the region ended',
			fields: {
				...toPlaceLabels(placement),
				server: placement.state.server.name,
			},
		});
	}
}

export function emitEnding(
	placement: Placement,
	ending: Ending,
	serviceTime: Milliseconds | undefined,
	context: Context,
): void {
	const labels = {...toPlaceLabels(placement), outcome: ending.outcome};
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

function toPlaceLabels(placement: Placement): {pool: string; region: string} {
	return {
		pool: placement.region.pool,
		region: placement.region.region,
	};
}
