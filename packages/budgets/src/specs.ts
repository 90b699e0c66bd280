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
import {largestBurst} from './units.js';

/** What a link may carry at once, as time at its full rate. */
const linkBurst: Milliseconds = 250;

function toRate(id: string, perSecond: number, burst: number): BudgetSpec {
	return {kind: 'rate', id, perSecond, burst: Math.min(burst, largestBurst)};
}

/** The budgets that a configuration sets by itself. */
export function listSpecs(configuration: Configuration): BudgetSpec[] {
	const customers = configuration.customers.map((customer) =>
		toRate(
			toCustomerBudgetId(customer.name),
			customer.ratePerSecond,
			customer.burst,
		),
	);
	const shifts = configuration.shifts.map((shift) =>
		toRate(toShiftBudgetId(shift.name), shift.capPerSecond, shift.capBurst),
	);
	const links = configuration.links.flatMap(({between, bytesPerSecond}) => {
		const burst = Math.ceil((bytesPerSecond * linkBurst) / second);
		return [
			toRate(toLinkBudgetId(between[0], between[1]), bytesPerSecond, burst),
			toRate(toLinkBudgetId(between[1], between[0]), bytesPerSecond, burst),
		];
	});
	return [...customers, ...shifts, ...links];
}
