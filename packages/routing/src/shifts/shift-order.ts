import type {Configuration, Drain, Shift} from '@parsleyvale/shared';

/** Why a running shift moves nothing. */
export type Suspension = {
	readonly shift: Shift;
	readonly reason: 'drained-target' | 'drained-source' | 'opposite-shift';
	/** Name of the drain or of the earlier shift. */
	readonly by: string;
};

/** The shifts in force, in their order, and those that stand back. */
export type ShiftOrder = {
	readonly active: readonly Shift[];
	readonly suspended: readonly Suspension[];
};

/**
 * One order among drains and shifts: a drain of a region goes before every
 * shift of it, and of two opposite shifts the first by name holds.
 *
 * @example
 * sortShifts(configuration).suspended;
 */
export function sortShifts(configuration: Configuration): ShiftOrder {
	const active: Shift[] = [];
	const suspended: Suspension[] = [];
	const running = configuration.shifts
		.filter((shift) => shift.state === 'running')
		.toSorted((one, other) => (one.name < other.name ? -1 : 1));
	for (const shift of running) {
		const suspension =
			findDrain(configuration, shift) ?? findOpposite(active, shift);
		if (suspension === undefined) {
			active.push(shift);
		} else {
			suspended.push(suspension);
		}
	}

	return {active, suspended};
}

function findDrain(
	configuration: Configuration,
	shift: Shift,
): Suspension | undefined {
	const target = findRegionDrain(configuration, shift.to);
	if (target !== undefined) {
		return {shift, reason: 'drained-target', by: target.name};
	}

	const source = findRegionDrain(configuration, shift.from);
	return source === undefined
		? undefined
		: {shift, reason: 'drained-source', by: source.name};
}

function findRegionDrain(
	configuration: Configuration,
	region: string,
): Drain | undefined {
	return configuration.drains.find(
		(drain) =>
			drain.state === 'running' &&
			drain.target.kind === 'region' &&
			drain.target.name === region,
	);
}

function findOpposite(
	active: readonly Shift[],
	shift: Shift,
): Suspension | undefined {
	const opposite = active.find(
		(other) =>
			other.pool === shift.pool &&
			other.from === shift.to &&
			other.to === shift.from,
	);
	return opposite === undefined
		? undefined
		: {shift, reason: 'opposite-shift', by: opposite.name};
}
