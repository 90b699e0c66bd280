import {randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {createSystemClock, type Milliseconds} from '@parsleyvale/shared';
import {Caller, type CallerRecord} from './caller.js';
import {limitedCustomer, unlimitedKeys} from './deployment.js';
import {FaultInjector} from './fault-injector.js';
import {Fleet} from './fleet.js';
import {findViolations, type RunHistory, type Violation} from './oracle.js';
import {createPlan, type Fault} from './plan.js';
import {createRandom} from './random.js';

export type SoakOptions = {
	readonly seed: number;
	readonly duration: Milliseconds;
	readonly daemons: number;
	readonly servers: number;
	/** Folder for the daemons' settings and logs. */
	readonly folder: string;
	readonly onProgress: (line: string) => void;
};

export type SoakReport = {
	readonly plan: readonly Fault[];
	readonly violations: readonly Violation[];
	/** Number of requests by status or, without a response, by failure. */
	readonly outcomes: ReadonlyMap<string, number>;
	readonly executions: number;
};

const callerCount = 10;
/** Upper limit of a caller's pause between two requests; ten callers send about 150 requests per second. */
const maxPause: Milliseconds = 100;
/** Fraction of requests sent by the customer with a rate limit. */
const limitedCustomerFraction = 0.4;
const safeFraction = 0.6;
/** Wait after the last request, so that late executions are recorded too. */
const settleTime: Milliseconds = 1500;
const progressInterval: Milliseconds = 5000;

/**
 * Runs daemons as processes under load, injects the faults planned for the seed and
 * checks what callers and servers observed.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const {seed, duration, daemons, servers, folder, onProgress} = options;
	const clock = createSystemClock();
	const plan = createPlan({seed, duration, daemons, servers});
	const fleet = new Fleet({clock, folder, daemons, servers, seed});
	const injector = new FaultInjector(fleet, clock);
	const records: CallerRecord[] = [];
	try {
		await fleet.start();
		await Promise.all(
			fleet.daemons.map(async (daemon) => fleet.waitUntilReady(daemon)),
		);
		const startedAt = clock.now();
		const end = startedAt + duration;
		const injections = plan.map(async (fault) => {
			await wait(Math.max(0, startedAt + fault.at - clock.now()));
			onProgress(
				`${Math.round(clock.now() - startedAt)} ms: ${formatFault(fault)}`,
			);
			await injector.inject(fault);
		});
		const createHistory = (): RunHistory => ({
			records,
			executions: fleet.executions,
			revokedAt: fleet.revokedAt,
			drainStartedAt: fleet.drainStartedAt,
			evacuations: injector.evacuations,
			statedLimits: injector.statedLimits,
			evacuatedServers: fleet.evacuatedServers,
			faults: injector.faults,
			allRestartedAt: injector.allRestartedAt,
			end,
			rateLimit: limitedCustomer,
		});
		const progress = setInterval(() => {
			const {length: violationCount} = findViolations(createHistory());
			onProgress(`${records.length} requests, ${violationCount} violations`);
		}, progressInterval);
		const callers = Array.from({length: callerCount}, async (_, index) =>
			runCaller({
				fleet,
				random: createRandom(seed * 1000 + index),
				end,
				records,
			}),
		);
		await Promise.all([...callers, ...injections]);
		clearInterval(progress);
		await wait(settleTime);
		return {
			plan,
			violations: findViolations(createHistory()),
			outcomes: countOutcomes(records),
			executions: fleet.executions.length,
		};
	} finally {
		await fleet.close();
	}
}

type CallerLoopOptions = {
	readonly fleet: Fleet;
	readonly random: () => number;
	readonly end: Milliseconds;
	readonly records: CallerRecord[];
};

async function runCaller(options: CallerLoopOptions): Promise<void> {
	const {fleet, random, end, records} = options;
	const clock = createSystemClock();
	const caller = new Caller(clock);
	while (clock.now() < end) {
		const daemon = fleet.daemons[Math.floor(random() * fleet.daemons.length)]!;
		const key =
			random() < limitedCustomerFraction
				? `key-${limitedCustomer.customer}`
				: unlimitedKeys[Math.floor(random() * unlimitedKeys.length)]!;
		await caller.send(
			{
				id: randomUUID(),
				key,
				isSafe: random() < safeFraction,
				daemon: daemon.process.name,
				endpoint: daemon.callerEndpoint,
			},
			(record) => records.push(record),
		);
		await wait(random() * maxPause);
	}

	caller.close();
}

function countOutcomes(records: readonly CallerRecord[]): Map<string, number> {
	const outcomes = new Map<string, number>();
	for (const {status, failure} of records) {
		const outcome = String(status ?? failure);
		outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
	}

	return outcomes;
}

/** Formats a fault as a single line. */
export function formatFault(fault: Fault): string {
	const target = 'target' in fault ? ` ${fault.target}` : '';
	const mode = 'mode' in fault ? ` ${fault.mode}` : '';
	return `${fault.kind}${target}${mode} for ${fault.duration} ms`;
}
