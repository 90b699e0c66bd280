import type {Configuration, Drain, Shift} from '@parsleyvale/shared';

/** Conflict because of which a running shift moves no requests. */
export type ShiftConflict = {
	readonly shift: Shift;
	readonly reason: 'drained-target' | 'drained-source' | 'opposite-shift';
	/** Name of the conflicting drain or shift. */
	readonly by: string;
};

/** Active shifts, sorted by name, and the conflicts of the others. */
export type ResolvedShifts = {
	readonly active: readonly Shift[];
	readonly conflicts: readonly ShiftConflict[];
};

/**
 * Resolves conflicts between drains and shifts. A drain of a region takes
 * precedence over every shift from or to it; of two opposite shifts, the first
 * by name takes precedence.
 *
 * @example
 * resolveShiftConflicts(configuration).conflicts;
 */
export function resolveShiftConflicts(
	configuration: Configuration,
): ResolvedShifts {
	const active: Shift[] = [];
	const conflicts: ShiftConflict[] = [];
	const running = configuration.shifts
		.filter((shift) => shift.state === 'running')
		.toSorted((one, other) => (one.name < other.name ? -1 : 1));
	for (const shift of running) {
		const conflict =
			findConflictingDrain(configuration, shift) ??
			findOppositeShift(active, shift);
		if (conflict === undefined) {
			active.push(shift);
		} else {
			conflicts.push(conflict);
		}
	}

	return {active, conflicts};
}

function findConflictingDrain(
	configuration: Configuration,
	shift: Shift,
): ShiftConflict | undefined {
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

function findOppositeShift(
	active: readonly Shift[],
	shift: Shift,
): ShiftConflict | undefined {
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
