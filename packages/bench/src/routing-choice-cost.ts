import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	createKernel,
	routerKey,
	type Context,
	type Router,
} from '@parsleyvale/kernel';
import {createRouting} from '@parsleyvale/routing';
import {
	configurationSchema,
	createSystemClock,
	type Configuration,
	type Milliseconds,
} from '@parsleyvale/shared';
import {FakeBudgets, FakeBudgetsPlugin} from './routing-fake-budgets.js';
import {VirtualClock} from './routing-virtual-clock.js';

const serverCounts = [8, 80, 800, 3200];
const choiceCount = 5000;
const warmUpChoiceCount = 2000;
const microsecondsPerMillisecond = 1000;
const runCount = 5;

const {values} = parseArgs({
	options: {hosts: {type: 'string', default: '2800'}},
});
const hostCount = Number(values.hosts);
const clock = createSystemClock();

process.stdout.write(`${hostCount} entry hosts\n`);
process.stdout.write(
	'| servers in the region | µs per choice and end of attempt (median of 5) | ms to apply the configuration |\n|---|---|---|\n',
);
for (const servers of serverCounts) {
	const configuration = createConfiguration(servers);
	const startedAt = clock.now();
	const router = createRouter(configuration);
	const applyDuration = clock.now() - startedAt;
	runChoices(router, configuration, warmUpChoiceCount);
	const durations = Array.from({length: runCount}, () =>
		runChoices(router, configuration, choiceCount),
	).toSorted((first, second) => first - second);
	const microsecondsPerChoice =
		(durations[Math.floor(runCount / 2)]! * microsecondsPerMillisecond) /
		choiceCount;
	process.stdout.write(
		`| ${servers} | ${microsecondsPerChoice.toFixed(1)} | ${applyDuration.toFixed(1)} |\n`,
	);
}

function createRouter(configuration: Configuration): Router {
	const kernel = createKernel({
		self: createHost(0),
		random: Math.random,
	})
		.use(new FakeBudgetsPlugin(new FakeBudgets(new VirtualClock()), () => 0))
		.use(createRouting());
	kernel.handle(
		{
			type: 'configuration-changed',
			current: {version: 1, operationId: '', configuration},
		},
		0,
	);
	const members = Array.from({length: hostCount}, (_, index) =>
		createHost(index),
	);
	kernel.handle({type: 'members-changed', members}, 0);
	return kernel.inject(routerKey);
}

function runChoices(
	router: Router,
	configuration: Configuration,
	count: number,
): Milliseconds {
	const route = configuration.routes[0]!;
	const context: Context = {
		now: 0,
		emit: () => undefined,
		raise: () => undefined,
	};
	const startedAt = clock.now();
	for (let index = 0; index < count; index++) {
		const choice = router.chooseServer(
			{
				requestId: 'request',
				route,
				customer: undefined,
				bodyBytes: 0,
				deadline: route.deadlineMs,
				triedServers: [],
			},
			context,
		);
		if (choice.isErr) {
			throw new Error(`No server chosen for a request: ${choice.error}`);
		}

		router.endAttempt(
			choice.value,
			{
				outcome: 'answered',
				status: 200,
				latency: 20,
				bytes: 1000,
				reportedLoad: 1,
			},
			context,
		);
	}

	return clock.now() - startedAt;
}

function createHost(index: number) {
	return {
		name: `host-${index}`,
		incarnation: '1',
		region: 'tpe',
		failureDomain: index % 2 === 0 ? 'tpe-a' : 'tpe-b',
		callers: {address: '127.0.0.1', port: 1},
		peers: {address: '127.0.0.1', port: 2},
		leaving: false,
	};
}

function createConfiguration(servers: number): Configuration {
	return configurationSchema.parse({
		regions: [
			{
				name: 'tpe',
				failureDomains: ['tpe-a', 'tpe-b'],
				failureDomainDelayMs: 5,
			},
		],
		pools: [
			{
				name: 'reader-desk',
				servers: Array.from({length: servers}, (_, index) => ({
					name: `server-${index}`,
					region: 'tpe',
					failureDomain: index % 2 === 0 ? 'tpe-a' : 'tpe-b',
					address: '127.0.0.1',
					port: 8000,
					slots: 3,
					connections: 360,
				})),
			},
		],
		routes: [
			{
				name: 'look-up',
				pathPrefix: '/',
				methods: ['GET'],
				pool: 'reader-desk',
				access: 'open',
				idempotent: true,
				deadlineMs: 1000,
			},
		],
	});
}
