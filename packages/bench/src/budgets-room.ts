import {second, minute, type Milliseconds} from '@parsleyvale/shared';
import {toRoomBudgetId, type BudgetSpec} from '@parsleyvale/kernel';
import {Fleet} from './budgets-fleet.js';
import type {ScenarioOptions} from './budgets-scenario.js';

const serviceTime: Milliseconds = 100;
const overload = 1.5;

/** One region's room asked for at 150% of its slots. */
export function runRoomRow({site, seed, isLending}: ScenarioOptions): {
	situation: string;
	target: string;
	figure: string;
	overruns: number;
} {
	const region = site.regions[0]!;
	const total = site.slotsInRegion;
	const id = toRoomBudgetId('pool', region);
	const room: BudgetSpec = {
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
		specs: [room],
	});
	let inUse = 0;
	let overruns = 0;
	let busy = 0;
	const schedule = () => {
		fleet.delay(fleet.random.nextGap(serviceTime / (total * overload)), () => {
			const near = fleet.hosts.filter((host) => host.self.region === region);
			const host = near[fleet.random.choose(near.length)]!;
			fleet.request(host, id, (isTaken) => {
				if (!isTaken) {
					return;
				}

				inUse++;
				overruns += inUse > total ? 1 : 0;
				fleet.delay(serviceTime, () => {
					inUse--;
					busy += serviceTime;
					host.budgets.release(id, 1, fleet.now, fleet.now);
				});
			});
			schedule();
		});
	};

	fleet.run(12 * second);
	schedule();
	fleet.run(5 * second);
	busy = 0;
	fleet.run(minute);
	const goodput = busy / (total * minute);
	return {
		situation: 'region pool at 150% of its slots',
		target: 'goodput >= 0.95',
		figure: `goodput ${goodput.toFixed(3)} of slots`,
		overruns,
	};
}
