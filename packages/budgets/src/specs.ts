import {
	toCustomerBudgetId,
	toLinkBudgetId,
	toShiftBudgetId,
	type BudgetSpec,
} from '@parsleyvale/kernel';
import {
	second,
	type Configuration,
	type Milliseconds,
} from '@parsleyvale/shared';
import {maxBurst} from './units.js';

/** Burst of a link, as time at its full rate. */
const linkBurstDuration: Milliseconds = 250;

function toRateSpec(id: string, perSecond: number, burst: number): BudgetSpec {
	return {kind: 'rate', id, perSecond, burst: Math.min(burst, maxBurst)};
}

/** Lists the budgets that follow from the configuration alone. */
export function listConfiguredSpecs(
	configuration: Configuration,
): BudgetSpec[] {
	const customers = configuration.customers.map((customer) =>
		toRateSpec(
			toCustomerBudgetId(customer.name),
			customer.ratePerSecond,
			customer.burst,
		),
	);
	const shifts = configuration.shifts.map((shift) =>
		toRateSpec(toShiftBudgetId(shift.name), shift.capPerSecond, shift.capBurst),
	);
	const links = configuration.links.flatMap(({between, bytesPerSecond}) => {
		const burst = Math.ceil((bytesPerSecond * linkBurstDuration) / second);
		return [
			toRateSpec(toLinkBudgetId(between[0], between[1]), bytesPerSecond, burst),
			toRateSpec(toLinkBudgetId(between[1], between[0]), bytesPerSecond, burst),
		];
	});
	return [...customers, ...shifts, ...links];
}
