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

type Measurement = {
	readonly perSecond: number;
	readonly p50: Milliseconds;
	readonly p99: Milliseconds;
};

const callerCounts = [1, 16, 128];
const warmUpDuration: Milliseconds = 1000;
const measuredDuration: Milliseconds = 4000;
const roundCount = 3;
const slots = 256;
const microsecondsPerMillisecond = 1000;
const folder = path.dirname(fileURLToPath(import.meta.url));

/** Sends sequential GET requests from the given number of concurrent callers. */
async function measure(
	origin: string,
	callers: number,
	duration: Milliseconds,
): Promise<Measurement> {
	const pool = new Pool(origin, {connections: callers, pipelining: 1});
	const latencies = build({numberOfSignificantValueDigits: 3});
	const startedAt = performance.now();
	const runCaller = async () => {
		while (performance.now() - startedAt < duration) {
			const sentAt = performance.now();
			const response = await pool.request({
				method: 'GET',
				path: '/entries/yu',
				headers: {authorization: `Bearer ${schoolKey}`},
			});
			await response.body.arrayBuffer();
			if (response.statusCode !== 200) {
				throw new Error(`Unexpected response status ${response.statusCode}.`);
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

function computeMedian(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

/** Alternates rounds between baseline and daemon, so that changing machine load affects both equally. */
async function compare(
	baselineOrigin: string,
	daemonOrigin: string,
	callers: number,
): Promise<string> {
	const baselineRounds: Measurement[] = [];
	const daemonRounds: Measurement[] = [];
	for (let round = 0; round < roundCount; round++) {
		baselineRounds.push(
			await measure(baselineOrigin, callers, measuredDuration),
		);
		daemonRounds.push(await measure(daemonOrigin, callers, measuredDuration));
	}

	const getMedian = (
		measurements: readonly Measurement[],
		key: keyof Measurement,
	) => computeMedian(measurements.map((measurement) => measurement[key]));
	const ratio =
		getMedian(daemonRounds, 'perSecond') /
		getMedian(baselineRounds, 'perSecond');
	const columns = [
		String(callers),
		getMedian(baselineRounds, 'perSecond').toFixed(0),
		getMedian(daemonRounds, 'perSecond').toFixed(0),
		ratio.toFixed(3),
		getMedian(baselineRounds, 'p50').toFixed(3),
		getMedian(daemonRounds, 'p50').toFixed(3),
		getMedian(baselineRounds, 'p99').toFixed(3),
		getMedian(daemonRounds, 'p99').toFixed(3),
	];
	return `| ${columns.join(' | ')} |`;
}

const fleet = createFleet();
const server = await startChild<PortLine>(
	path.join(folder, 'echo-server.js'),
	[],
);
const upstream = `http://127.0.0.1:${server.readyMessage.port}`;
const baseline = await startChild<PortLine>(
	path.join(folder, 'pass-through.js'),
	[upstream, String(slots)],
);
try {
	const host = await startDaemon(fleet, server.readyMessage.port);
	const baselineOrigin = `http://127.0.0.1:${baseline.readyMessage.port}`;
	const daemonOrigin = fleet.toUrl(host, '');
	await measure(baselineOrigin, callerCounts.at(-1)!, warmUpDuration);
	await measure(daemonOrigin, callerCounts.at(-1)!, warmUpDuration);
	console.log(
		'| callers | baseline/s | daemon/s | ratio | baseline p50 ms | daemon p50 ms | baseline p99 ms | daemon p99 ms |',
	);
	console.log('|---|---|---|---|---|---|---|---|');
	for (const callers of callerCounts) {
		console.log(await compare(baselineOrigin, daemonOrigin, callers));
	}
} finally {
	await fleet.close();
	await baseline.kill();
	await server.kill();
	process.exitCode ??= 0;
}
