import {randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {createSystemClock, type Milliseconds} from '@parsleyvale/shared';
import {Caller, type CallerRecord} from './caller.js';
import {limited, openKeys} from './deployment.js';
import {FaultInjector} from './fault-injector.js';
import {Fleet} from './fleet.js';
import {judge, type Evidence, type Violation} from './oracle.js';
import {createPlan, type Fault} from './plan.js';
import {createRandom} from './random.js';

export type SoakOptions = {
	readonly seed: number;
	readonly length: Milliseconds;
	readonly daemons: number;
	readonly servers: number;
	/** Folder of settings and logs. */
	readonly folder: string;
	readonly onProgress: (line: string) => void;
};

export type SoakReport = {
	readonly plan: readonly Fault[];
	readonly violations: readonly Violation[];
	/** Requests by their status, or the problem that ended them. */
	readonly outcomes: ReadonlyMap<string, number>;
	readonly executions: number;
};

const callerCount = 10;
/** A caller's pause between two requests: ten callers send about 150 a second. */
const longestPause: Milliseconds = 100;
/** The part of requests that come from the customer with a limit. */
const limitedPart = 0.4;
const safePart = 0.6;
/** Time after the load for late executions. */
const tailTime: Milliseconds = 1500;
const progressInterval: Milliseconds = 5000;

/**
 * Runs daemons as processes under load, injects the faults of a seed's plan and
 * judges what callers and servers saw.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const {seed, length, daemons, servers, folder, onProgress} = options;
	const clock = createSystemClock();
	const plan = createPlan({seed, length, daemons, servers});
	const fleet = new Fleet({clock, folder, daemons, servers, seed});
	const injector = new FaultInjector(fleet, clock);
	const records: CallerRecord[] = [];
	try {
		await fleet.start();
		await Promise.all(
			fleet.daemons.map(async (daemon) => fleet.waitUntilReady(daemon)),
		);
		const begin = clock.now();
		const end = begin + length;
		const injected = plan.map(async (fault) => {
			await wait(Math.max(0, begin + fault.at - clock.now()));
			onProgress(`${Math.round(clock.now() - begin)} ms: ${toText(fault)}`);
			await injector.inject(fault);
		});
		const toEvidence = (): Evidence => ({
			records,
			executions: fleet.executions,
			revokedAt: fleet.revokedAt,
			leftAt: fleet.leftAt,
			evacuations: injector.evacuations,
			evacuatedServers: fleet.evacuatedServers,
			faults: injector.faults,
			allBackAt: injector.allBackAt,
			end,
			limit: limited,
		});
		const progress = setInterval(() => {
			const {length: broken} = judge(toEvidence());
			onProgress(`${records.length} requests, ${broken} promises broken`);
		}, progressInterval);
		const callers = Array.from({length: callerCount}, async (_, index) =>
			runCaller({
				fleet,
				random: createRandom(seed * 1000 + index),
				end,
				records,
			}),
		);
		await Promise.all([...callers, ...injected]);
		clearInterval(progress);
		await wait(tailTime);
		return {
			plan,
			violations: judge(toEvidence()),
			outcomes: countOutcomes(records),
			executions: fleet.executions.length,
		};
	} finally {
		await fleet.close();
	}
}

type CallerLoop = {
	readonly fleet: Fleet;
	readonly random: () => number;
	readonly end: Milliseconds;
	readonly records: CallerRecord[];
};

async function runCaller(loop: CallerLoop): Promise<void> {
	const {fleet, random, end, records} = loop;
	const clock = createSystemClock();
	const caller = new Caller(clock);
	while (clock.now() < end) {
		const daemon = fleet.daemons[Math.floor(random() * fleet.daemons.length)]!;
		const key =
			random() < limitedPart
				? `key-${limited.customer}`
				: openKeys[Math.floor(random() * openKeys.length)]!;
		await caller.send(
			{
				id: randomUUID(),
				key,
				isSafe: random() < safePart,
				daemon: daemon.process.name,
				endpoint: daemon.callers,
			},
			(record) => records.push(record),
		);
		await wait(random() * longestPause);
	}

	caller.close();
}

function countOutcomes(records: readonly CallerRecord[]): Map<string, number> {
	const outcomes = new Map<string, number>();
	for (const {status, problem} of records) {
		const outcome = String(status ?? problem);
		outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
	}

	return outcomes;
}

/** A fault as one line. */
export function toText(fault: Fault): string {
	const target = 'target' in fault ? ` ${fault.target}` : '';
	const mode = 'mode' in fault ? ` ${fault.mode}` : '';
	return `${fault.kind}${target}${mode} for ${fault.span} ms`;
}
