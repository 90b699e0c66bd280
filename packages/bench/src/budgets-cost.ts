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

const takes = 1_000_000;
const measuredSpan = 30 * second;

function createBudgetsWithShare(customers: number): Budgets {
	const kernel = createKernel({self, random: () => 0.5}).use(createBudgets());
	const budgets = kernel.inject(budgetsKey);
	const group = 'budgets/fleet';
	kernel.handle({type: 'tick'}, 0);
	answerRead(kernel.handle.bind(kernel), group);
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

/** Lets the only host create the ledger, and so hold all of it. */
function answerRead(
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

function printTakes(customers: number): void {
	const before = measureHeap();
	const budgets = createBudgetsWithShare(customers);
	const defined = measureHeap() - before;
	const random = new RandomSource(customers);
	const ids = Array.from({length: takes}, () =>
		toCustomerBudgetId(`customer-${random.choose(customers)}`),
	);
	const untouched = measureHeap();
	for (let index = 0; index < customers; index++) {
		budgets.take(toCustomerBudgetId(`customer-${index}`), 1, 5 * second);
	}

	const touched = measureHeap() - untouched;
	const started = process.hrtime.bigint();
	let taken = 0;
	for (const [index, id] of ids.entries()) {
		const now = 10 * second + index / 100;
		taken += budgets.take(id, 1, now) === 'taken' ? 1 : 0;
	}

	const nanoseconds = Number(process.hrtime.bigint() - started) / takes;
	const columns = [
		customers,
		nanoseconds.toFixed(0),
		(defined / customers).toFixed(0),
		(touched / customers).toFixed(0),
		((defined + touched) / 2 ** 20).toFixed(1),
		taken,
	];
	process.stdout.write(`| ${columns.join(' | ')} |\n`);
}

function printTraffic(seed: number): void {
	for (const steering of ['spread', 'steered', 'steered-by-burst'] as const) {
		const scenario = new Scenario({
			site: hanlin,
			seed,
			steering,
			isLending: true,
		});
		scenario.clear();
		const started = process.cpuUsage();
		scenario.fleet.run(measuredSpan);
		const used = process.cpuUsage(started);
		const {messages, bytes, storeCalls} = scenario.fleet.counts;
		const hosts = scenario.fleet.hosts.length;
		const seconds = measuredSpan / second;
		const columns = [
			steering,
			(messages / seconds / hosts).toFixed(1),
			(bytes / seconds / hosts).toFixed(0),
			(storeCalls / seconds).toFixed(2),
			((used.user + used.system) / 1e4 / seconds / hosts).toFixed(2),
		];
		process.stdout.write(`| ${columns.join(' | ')} |\n`);
	}
}

const {values} = parseArgs({options: {seed: {type: 'string', default: '1'}}});
process.stdout.write(
	'| customers | ns a take | bytes defined | bytes more when touched | MB | taken |\n|---|---|---|---|---|---|\n',
);
for (const customers of [8, 1000, 100_000]) {
	printTakes(customers);
}

process.stdout.write(
	'\nhanlin, ten hosts, 95% of rate, for each host (JSON; processor time with the fakes)\n| steering | messages a second | bytes a second | store calls a second, fleet | % of a core |\n|---|---|---|---|---|\n',
);
printTraffic(Number(values.seed));
