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
import {ShiftPacer, type RegionStats} from './shift-pacer.js';
import {resolveShiftConflicts, type ShiftConflict} from './shift-conflicts.js';

export type GetRegionStats = (
	pool: PoolName,
	region: RegionName,
) => RegionStats;

/** Active traffic shifts on this host. */
export class Shifts {
	readonly #pacers = new Map<ShiftName, ShiftPacer>();
	#active: readonly Shift[] = [];
	#conflicts: readonly ShiftConflict[] = [];

	applyConfiguration(
		configuration: Configuration,
		getRegionStats: GetRegionStats,
		context: Context,
	): void {
		const resolved = resolveShiftConflicts(configuration);
		this.#active = resolved.active;
		this.#logConflicts(resolved.conflicts, context);
		const names = new Set(resolved.active.map((shift) => shift.name));
		for (const name of this.#pacers.keys()) {
			if (!names.has(name)) {
				this.#pacers.delete(name);
			}
		}

		for (const shift of resolved.active) {
			this.#applyShift(shift, getRegionStats, context.now);
		}
	}

	/** Chooses the shift, if any, that moves a request to another region. */
	chooseShift(
		pool: PoolName,
		from: RegionName,
		random: Random,
		now: Milliseconds,
	): Shift | undefined {
		let randomPoint: number | undefined;
		let cumulativeShare = 0;
		for (const shift of this.#active) {
			if (shift.pool !== pool || shift.from !== from) {
				continue;
			}

			randomPoint ??= random();
			cumulativeShare += this.#pacers.get(shift.name)?.getShare(now) ?? 0;
			if (randomPoint < cumulativeShare) {
				return shift;
			}
		}

		return undefined;
	}

	/** Records the outcome of an attempt in a region. */
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
		getRegionStats: GetRegionStats,
		now: Milliseconds,
	): void {
		const previous = this.#pacers.get(shift.name);
		if (previous !== undefined && isDeepStrictEqual(previous.shift, shift)) {
			return;
		}

		const target = getRegionStats(shift.pool, shift.to);
		const source = getRegionStats(shift.pool, shift.from);
		const hasSameRegions =
			previous?.shift.from === shift.from && previous.shift.to === shift.to;
		const pacer = new ShiftPacer({
			shift,
			baseline: {
				serviceTime: target.serviceTime ?? source.serviceTime,
				failureRate: target.failureRate ?? source.failureRate,
			},
			initialShare: hasSameRegions ? previous.getShare(now) : 0,
			now,
		});
		this.#pacers.set(shift.name, pacer);
	}

	#logConflicts(conflicts: readonly ShiftConflict[], context: Context): void {
		if (isDeepStrictEqual(conflicts, this.#conflicts)) {
			return;
		}

		this.#conflicts = conflicts;
		for (const {shift, reason, by} of conflicts) {
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
		message:
			change === 'paused'
				? 'Shift paused: target region degraded'
				: 'Shift resumed',
		fields: {shift: shift.name, pool: shift.pool, target: shift.to},
	});
	context.emit({
		type: 'count',
		name: 'routing_shift_pace_changes_total',
		labels: {pool: shift.pool, region: shift.to, outcome: change},
		by: 1,
	});
}
