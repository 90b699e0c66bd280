import {second, minute, type Milliseconds} from '@parsleyvale/shared';
import {toRoomBudgetId, type BudgetSpec} from '@parsleyvale/kernel';
import {Fleet} from './budgets-fleet.js';
import type {ScenarioOptions} from './budgets-scenario.js';

const serviceTime: Milliseconds = 100;
const loadFactor = 1.5;

/** Runs a region whose offered load is 150% of its slots. */
export function runRegionOverload({site, seed, isLending}: ScenarioOptions): {
	situation: string;
	target: string;
	figure: string;
	overruns: number;
} {
	const region = site.regions[0]!;
	const total = site.slotsPerRegion;
	const id = toRoomBudgetId('pool', region);
	const capacityBudget: BudgetSpec = {
		kind: 'count',
		id,
		total,
		maxHoldDuration: 5 * second,
		region,
	};
	const fleet = new Fleet({
		site,
		seed,
		isLending,
		customers: [],
		specs: [capacityBudget],
	});
	let inUse = 0;
	let overruns = 0;
	let busyTime = 0;
	const scheduleArrival = () => {
		fleet.schedule(
			fleet.random.nextInterval(serviceTime / (total * loadFactor)),
			() => {
				const localHosts = fleet.hosts.filter(
					(host) => host.self.region === region,
				);
				const host = localHosts[fleet.random.nextInteger(localHosts.length)]!;
				fleet.take(host, id, (isTaken) => {
					if (!isTaken) {
						return;
					}

					inUse++;
					overruns += inUse > total ? 1 : 0;
					fleet.schedule(serviceTime, () => {
						inUse--;
						busyTime += serviceTime;
						host.budgets.release(id, 1, fleet.now, fleet.now);
					});
				});
				scheduleArrival();
			},
		);
	};

	fleet.run(12 * second);
	scheduleArrival();
	fleet.run(5 * second);
	busyTime = 0;
	fleet.run(minute);
	const goodput = busyTime / (total * minute);
	return {
		situation: 'region pool at 150% of its slots',
		target: 'goodput >= 0.95',
		figure: `goodput ${goodput.toFixed(3)} of slots`,
		overruns,
	};
}
