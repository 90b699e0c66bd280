import {createHash} from 'node:crypto';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {
	createFleet,
	schoolKey,
	startChild,
	type Fleet,
	type Host,
} from '@parsleyvale/acceptance';
import type {Configuration, Milliseconds} from '@parsleyvale/shared';

type PortLine = {readonly port: number};

type Measured = {
	readonly perSecond: number;
	readonly p50: Milliseconds;
	readonly p99: Milliseconds;
};

const callerCounts = [1, 16, 128];
const warmUpSpan: Milliseconds = 1000;
const measuredSpan: Milliseconds = 4000;
const rounds = 3;
const slots = 256;
const microsecondsPerMillisecond = 1000;
const folder = path.dirname(fileURLToPath(import.meta.url));

/** Sends GETs one after the other from so many callers for a time. */
async function measure(
	origin: string,
	callers: number,
	span: Milliseconds,
): Promise<Measured> {
	const pool = new Pool(origin, {connections: callers, pipelining: 1});
	const latencies = build({numberOfSignificantValueDigits: 3});
	const startedAt = performance.now();
	const runCaller = async () => {
		while (performance.now() - startedAt < span) {
			const sentAt = performance.now();
			const answer = await pool.request({
				method: 'GET',
				path: '/entries/yu',
				headers: {authorization: `Bearer ${schoolKey}`},
			});
			await answer.body.arrayBuffer();
			if (answer.statusCode !== 200) {
				throw new Error(`An answer had status ${answer.statusCode}.`);
			}

			const latency = performance.now() - sentAt;
			latencies.recordValue(Math.ceil(latency * microsecondsPerMillisecond));
		}
	};

	await Promise.all(Array.from({length: callers}, runCaller));
	const seconds = (performance.now() - startedAt) / 1000;
	await pool.close();
	return {
		perSecond: latencies.totalCount / seconds,
		p50: latencies.getValueAtPercentile(50) / microsecondsPerMillisecond,
		p99: latencies.getValueAtPercentile(99) / microsecondsPerMillisecond,
	};
}

function toConfiguration(port: number): Partial<Configuration> {
	return {
		regions: [
			{
				name: 'tpe',
				failureDomains: ['a'],
				callerDelayMs: 0,
				failureDomainDelayMs: 0,
			},
		],
		pools: [
			{
				name: 'desk',
				connectCostMs: 1,
				probeCostMs: 1,
				headroom: 0,
				servers: [
					{
						name: 'desk-1',
						region: 'tpe',
						failureDomain: 'a',
						address: '127.0.0.1',
						port,
						slots,
						connections: slots,
					},
				],
			},
		],
		customers: [
			{name: 'school', ratePerSecond: 1_000_000, burst: 1_000_000, weight: 1},
		],
		keys: [
			{
				name: 'school-1',
				customer: 'school',
				hash: createHash('sha256').update(schoolKey).digest('hex'),
				withdrawn: false,
			},
		],
		routes: [
			{
				name: 'entries',
				pathPrefix: '/',
				methods: ['GET'],
				pool: 'desk',
				access: 'key',
				idempotent: true,
				deadlineMs: 10_000,
				class: 'look-up',
			},
		],
	};
}

async function startDaemon(fleet: Fleet, port: number): Promise<Host> {
	await fleet.startStore();
	const host = await fleet.startHost({
		name: 'tpe-a-1',
		region: 'tpe',
		failureDomain: 'a',
		address: '127.0.0.1',
	});
	await fleet.applyConfiguration(host, 0, toConfiguration(port));
	await fleet.waitUntilReady(host);
	return host;
}

function toMedian(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

/** Rounds alternate between the two, so that both meet the same machine. */
async function compare(
	bare: string,
	daemon: string,
	callers: number,
): Promise<string> {
	const bareRounds: Measured[] = [];
	const daemonRounds: Measured[] = [];
	for (let round = 0; round < rounds; round++) {
		bareRounds.push(await measure(bare, callers, measuredSpan));
		daemonRounds.push(await measure(daemon, callers, measuredSpan));
	}

	const pick = (list: readonly Measured[], key: keyof Measured) =>
		toMedian(list.map((each) => each[key]));
	const ratio = pick(daemonRounds, 'perSecond') / pick(bareRounds, 'perSecond');
	const columns = [
		String(callers),
		pick(bareRounds, 'perSecond').toFixed(0),
		pick(daemonRounds, 'perSecond').toFixed(0),
		ratio.toFixed(3),
		pick(bareRounds, 'p50').toFixed(3),
		pick(daemonRounds, 'p50').toFixed(3),
		pick(bareRounds, 'p99').toFixed(3),
		pick(daemonRounds, 'p99').toFixed(3),
	];
	return `| ${columns.join(' | ')} |`;
}

const fleet = createFleet();
const server = await startChild<PortLine>(
	path.join(folder, 'echo-server.js'),
	[],
);
const upstream = `http://127.0.0.1:${server.readyMessage.port}`;
const bare = await startChild<PortLine>(path.join(folder, 'pass-through.js'), [
	upstream,
	String(slots),
]);
try {
	const host = await startDaemon(fleet, server.readyMessage.port);
	const bareOrigin = `http://127.0.0.1:${bare.readyMessage.port}`;
	const daemonOrigin = fleet.toUrl(host, '');
	await measure(bareOrigin, callerCounts.at(-1)!, warmUpSpan);
	await measure(daemonOrigin, callerCounts.at(-1)!, warmUpSpan);
	console.log(
		'| callers | bare/s | daemon/s | ratio | bare p50 ms | daemon p50 ms | bare p99 ms | daemon p99 ms |',
	);
	console.log('|---|---|---|---|---|---|---|---|');
	for (const callers of callerCounts) {
		console.log(await compare(bareOrigin, daemonOrigin, callers));
	}
} finally {
	await fleet.close();
	await bare.kill();
	await server.kill();
	process.exitCode ??= 0;
}
