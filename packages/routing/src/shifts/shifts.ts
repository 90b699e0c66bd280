import {isDeepStrictEqual} from 'node:util';
import type {Context} from '@parsleyvale/kernel';
import type {
	Configuration,
	Milliseconds,
	PoolName,
	RegionName,
	Shift,
	ShiftName,
} from '@parsleyvale/shared';
import type {Random} from '../choosers/chooser.js';
import {ShiftPacer, type Condition} from './shift-pacer.js';
import {sortShifts, type Suspension} from './shift-order.js';

export type GetCondition = (pool: PoolName, region: RegionName) => Condition;

/** The shifts in force on this host. */
export class Shifts {
	readonly #pacers = new Map<ShiftName, ShiftPacer>();
	#active: readonly Shift[] = [];
	#suspended: readonly Suspension[] = [];

	applyConfiguration(
		configuration: Configuration,
		getCondition: GetCondition,
		context: Context,
	): void {
		const order = sortShifts(configuration);
		this.#active = order.active;
		this.#logSuspensions(order.suspended, context);
		const names = new Set(order.active.map((shift) => shift.name));
		for (const name of this.#pacers.keys()) {
			if (!names.has(name)) {
				this.#pacers.delete(name);
			}
		}

		for (const shift of order.active) {
			this.#applyShift(shift, getCondition, context.now);
		}
	}

	/** The shift, if any, that moves a request away from its region. */
	chooseShift(
		pool: PoolName,
		from: RegionName,
		random: Random,
		now: Milliseconds,
	): Shift | undefined {
		let point: number | undefined;
		let sum = 0;
		for (const shift of this.#active) {
			if (shift.pool !== pool || shift.from !== from) {
				continue;
			}

			point ??= random();
			sum += this.#pacers.get(shift.name)?.getShare(now) ?? 0;
			if (point < sum) {
				return shift;
			}
		}

		return undefined;
	}

	/** An attempt in the region ended. */
	onOutcome(
		pool: PoolName,
		region: RegionName,
		isFailure: boolean,
		serviceTime: Milliseconds | undefined,
	): void {
		for (const shift of this.#active) {
			if (shift.pool === pool && shift.to === region) {
				this.#pacers.get(shift.name)?.onOutcome(isFailure, serviceTime);
			}
		}
	}

	onTick(context: Context): void {
		for (const pacer of this.#pacers.values()) {
			const change = pacer.updatePace(context.now);
			if (change !== undefined) {
				emitPaceChange(pacer.shift, change, context);
			}
		}
	}

	#applyShift(
		shift: Shift,
		getCondition: GetCondition,
		now: Milliseconds,
	): void {
		const earlier = this.#pacers.get(shift.name);
		if (earlier !== undefined && isDeepStrictEqual(earlier.shift, shift)) {
			return;
		}

		const target = getCondition(shift.pool, shift.to);
		const source = getCondition(shift.pool, shift.from);
		const isSameMove =
			earlier?.shift.from === shift.from && earlier.shift.to === shift.to;
		const pacer = new ShiftPacer({
			shift,
			baseline: {
				serviceTime: target.serviceTime ?? source.serviceTime,
				failureRate: target.failureRate ?? source.failureRate,
			},
			startShare: isSameMove ? earlier.getShare(now) : 0,
			now,
		});
		this.#pacers.set(shift.name, pacer);
	}

	#logSuspensions(suspended: readonly Suspension[], context: Context): void {
		if (isDeepStrictEqual(suspended, this.#suspended)) {
			return;
		}

		this.#suspended = suspended;
		for (const {shift, reason, by} of suspended) {
			context.emit({
				type: 'log',
				level: 'warn',
				message: 'Shift suspended',
				fields: {shift: shift.name, reason, by},
			});
		}
	}
}

function emitPaceChange(
	shift: Shift,
	change: 'paused' | 'resumed',
	context: Context,
): void {
	context.emit({
		type: 'log',
		level: change === 'paused' ? 'warn' : 'info',
		message: change === 'paused' ? 'Shift paused itself' : 'Shift resumed',
		fields: {shift: shift.name, pool: shift.pool, target: shift.to},
	});
	context.emit({
		type: 'count',
		name: 'routing_shift_pace_changes_total',
		labels: {pool: shift.pool, region: shift.to, outcome: change},
		by: 1,
	});
}
