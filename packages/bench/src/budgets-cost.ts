import process from 'node:process';
import {parseArgs} from 'node:util';
import {createBudgets} from '@parsleyvale/budgets';
import {
	budgetsKey,
	createKernel,
	toCustomerBudgetId,
	type Budgets,
	type KernelEvent,
} from '@parsleyvale/kernel';
import {second, type EntryHost} from '@parsleyvale/shared';
import {RandomSource} from './budgets-random.js';
import {Scenario} from './budgets-scenario.js';
import {hanlin} from './budgets-sites.js';

const self: EntryHost = {
	name: 'host-0',
	incarnation: '1',
	region: 'tpe',
	failureDomain: 'tpe-0',
	callers: {address: '127.0.0.1', port: 1},
	peers: {address: '127.0.0.1', port: 2},
	leaving: false,
};

const takeCount = 1_000_000;
const measuredDuration = 30 * second;

function createBudgetsWithShare(customers: number): Budgets {
	const kernel = createKernel({self, random: () => 0.5}).use(createBudgets());
	const budgets = kernel.inject(budgetsKey);
	const group = 'budgets/fleet';
	kernel.handle({type: 'tick'}, 0);
	completeLedgerCreation(kernel.handle.bind(kernel), group);
	kernel.on('room-changed', (_event, context) => {
		for (let index = 0; index < customers; index++) {
			const id = toCustomerBudgetId(`customer-${index}`);
			const spec = {kind: 'rate', id, perSecond: 1000, burst: 1000} as const;
			budgets.define(spec, context);
		}
	});
	kernel.handle({type: 'room-changed', pool: ''}, 2);
	return budgets;
}

/** Lets the host create the ledger; as the only host it then holds all shares. */
function completeLedgerCreation(
	handle: (event: KernelEvent, now: number) => unknown,
	name: string,
): void {
	handle(
		{
			type: 'object-read',
			operationId: `${name}#1`,
			name,
			result: {kind: 'missing'},
		},
		1,
	);
	handle(
		{
			type: 'object-written',
			operationId: `${name}#2`,
			name,
			result: {kind: 'written', version: 1},
		},
		1,
	);
}

function measureHeap(): number {
	(globalThis as {gc?: () => void}).gc?.();
	return process.memoryUsage().heapUsed;
}

function printTakeCosts(customers: number): void {
	const heapBefore = measureHeap();
	const budgets = createBudgetsWithShare(customers);
	const definedBytes = measureHeap() - heapBefore;
	const random = new RandomSource(customers);
	const ids = Array.from({length: takeCount}, () =>
		toCustomerBudgetId(`customer-${random.nextInteger(customers)}`),
	);
	const heapBeforeTakes = measureHeap();
	for (let index = 0; index < customers; index++) {
		budgets.take(toCustomerBudgetId(`customer-${index}`), 1, 5 * second);
	}

	const touchedBytes = measureHeap() - heapBeforeTakes;
	const startedAt = process.hrtime.bigint();
	let taken = 0;
	for (const [index, id] of ids.entries()) {
		const now = 10 * second + index / 100;
		taken += budgets.take(id, 1, now) === 'taken' ? 1 : 0;
	}

	const nanoseconds = Number(process.hrtime.bigint() - startedAt) / takeCount;
	const columns = [
		customers,
		nanoseconds.toFixed(0),
		(definedBytes / customers).toFixed(0),
		(touchedBytes / customers).toFixed(0),
		((definedBytes + touchedBytes) / 2 ** 20).toFixed(1),
		taken,
	];
	process.stdout.write(`| ${columns.join(' | ')} |\n`);
}

function printTrafficCosts(seed: number): void {
	for (const steering of ['spread', 'steered', 'steered-by-burst'] as const) {
		const scenario = new Scenario({
			site: hanlin,
			seed,
			steering,
			isLending: true,
		});
		scenario.resetCounts();
		const cpuUsageAtStart = process.cpuUsage();
		scenario.fleet.run(measuredDuration);
		const cpuUsage = process.cpuUsage(cpuUsageAtStart);
		const {messages, bytes, storeCalls} = scenario.fleet.counts;
		const hostCount = scenario.fleet.hosts.length;
		const seconds = measuredDuration / second;
		const columns = [
			steering,
			(messages / seconds / hostCount).toFixed(1),
			(bytes / seconds / hostCount).toFixed(0),
			(storeCalls / seconds).toFixed(2),
			((cpuUsage.user + cpuUsage.system) / 1e4 / seconds / hostCount).toFixed(
				2,
			),
		];
		process.stdout.write(`| ${columns.join(' | ')} |\n`);
	}
}

const {values} = parseArgs({options: {seed: {type: 'string', default: '1'}}});
process.stdout.write(
	'| customers | ns per take | bytes per customer when defined | additional bytes after first take | MB | taken |\n|---|---|---|---|---|---|\n',
);
for (const customers of [8, 1000, 100_000]) {
	printTakeCosts(customers);
}

process.stdout.write(
	'\nhanlin, ten hosts, 95% of rate, per host (messages as JSON; CPU time includes the fakes)\n| steering | messages per second | bytes per second | store calls per second, whole fleet | % of a core |\n|---|---|---|---|---|\n',
);
printTrafficCosts(Number(values.seed));
