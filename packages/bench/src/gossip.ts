import {createHash} from 'node:crypto';
import process from 'node:process';
import {createConfiguration} from '@parsleyvale/configuration';
import {
	createKernel,
	type Effect,
	type EffectOf,
	type Kernel,
	type KernelEvent,
} from '@parsleyvale/kernel';
import {createMembership} from '@parsleyvale/membership';
import {second, type EntryHost, type Milliseconds} from '@parsleyvale/shared';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const seed = 2800;
const hostsPerRegion = 60;
const kernelHostCount = 60;
const tickInterval: Milliseconds = 100;
const warmUpDuration: Milliseconds = 5 * second;
const measuredDuration: Milliseconds = 10 * second;
/** Hosts whose heartbeats a host receives: those that it monitors and as many random gossip senders. */
const heartbeatSenderCount = 6;
const randomRange = 2 ** 30;

/** Cost of heartbeats and gossip for one daemon. */
export type GossipMeasurement = {
	readonly daemons: number;
	readonly region: 'all' | 'relays' | 'others';
	readonly sentMessagesPerSecond: number;
	readonly sentBytesPerSecond: number;
	readonly largestSentBytesPerSecond: number;
	readonly cpuMicrosecondsPerSecond: number;
	readonly storeCallsPerSecond: number;
};

type TrafficCounts = {messages: number; bytes: number; storeCalls: number};

function createHost(index: number): EntryHost {
	const region = `region-${Math.floor(index / hostsPerRegion)}`;
	return {
		name: `host-${index}`,
		incarnation: `host-${index}-1`,
		region,
		failureDomain: `${region}-${index % 2}`,
		callers: {address: '127.0.0.1', port: 1},
		peers: {address: '127.0.0.1', port: 2},
		leaving: false,
	};
}

function createRing(hosts: readonly EntryHost[]): string[] {
	return hosts
		.map(({name}) => ({
			name,
			position: createHash('sha256').update(name).digest('hex'),
		}))
		.sort((a, b) => (a.position < b.position ? -1 : 1))
		.map(({name}) => name);
}

function createHeartbeat(name: string): KernelEvent {
	return {
		type: 'peer-message',
		from: {name, incarnation: `${name}-1`},
		topic: 'membership/heartbeat',
		payload: {counter: 0, leaving: false, weight: 1, load: 0, updates: []},
	};
}

/** A region of real kernels; hosts of other regions are simulated by mirroring the messages sent to them. */
class Region {
	readonly kernels = new Map<string, Kernel>();
	readonly trafficCounts = new Map<string, TrafficCounts>();
	isCounting = false;
	cpuMicroseconds = 0;
	readonly #queue: Array<() => void> = [];
	#now: Milliseconds = 0;
	#mirroredCount = 0;
	readonly #ring: readonly string[];

	constructor(hosts: readonly EntryHost[]) {
		this.#ring = createRing(hosts);
		const generator = xoroshiro128plus(seed);
		const random = () =>
			unsafeUniformIntDistribution(0, randomRange - 1, generator) / randomRange;
		for (const self of hosts.slice(0, kernelHostCount)) {
			const kernel = createKernel({self, random})
				.use(createConfiguration())
				.use(createMembership());
			this.kernels.set(self.name, kernel);
			this.trafficCounts.set(self.name, {messages: 0, bytes: 0, storeCalls: 0});
			this.#handle(self.name, {type: 'hosts-listed', hosts});
		}
	}

	run(duration: Milliseconds): void {
		const end = this.#now + duration;
		for (; this.#now < end; this.#now += tickInterval) {
			if (this.#now % second === 0) {
				this.#deliverHeartbeats();
			}

			for (const name of this.kernels.keys()) {
				this.#handle(name, {type: 'tick'});
				this.#drain();
			}
		}
	}

	/** Delivers heartbeats from hosts of other regions to the hosts that monitor them. */
	#deliverHeartbeats(): void {
		const {length} = this.#ring;
		for (const name of this.kernels.keys()) {
			const position = this.#ring.indexOf(name);
			for (
				let step = 1;
				step <= Math.min(heartbeatSenderCount, length - 1);
				step++
			) {
				const from = this.#ring[(position - step + length) % length]!;
				if (!this.kernels.has(from)) {
					this.#handle(name, createHeartbeat(from));
				}
			}
		}
	}

	#drain(): void {
		while (this.#queue.length > 0) {
			this.#queue.shift()!();
		}
	}

	#handle(name: string, event: KernelEvent): void {
		const kernel = this.kernels.get(name)!;
		const cpuUsageBefore = process.cpuUsage();
		const effects = kernel.handle(event, this.#now);
		const cpuUsage = process.cpuUsage(cpuUsageBefore);
		if (this.isCounting) {
			this.cpuMicroseconds += cpuUsage.user + cpuUsage.system;
		}

		for (const effect of effects) {
			this.#perform(name, effect);
		}
	}

	#perform(name: string, effect: Effect): void {
		const counts = this.trafficCounts.get(name)!;
		if (effect.type === 'send-peer') {
			if (this.isCounting) {
				counts.messages++;
				counts.bytes += effect.topic.length;
				counts.bytes += JSON.stringify(effect.payload).length;
			}

			this.#queue.push(() => {
				this.#send(name, effect);
			});
		} else if (effect.type === 'read-object') {
			counts.storeCalls += this.isCounting ? 1 : 0;
			const {operationId} = effect;
			this.#queue.push(() => {
				this.#handle(name, {
					type: 'object-read',
					operationId,
					name: effect.name,
					result: {kind: 'missing'},
				});
			});
		}
	}

	#send(from: string, effect: EffectOf<'send-peer'>): void {
		const {to, topic, payload} = effect;
		if (this.kernels.has(to)) {
			const identity = {name: from, incarnation: `${from}-1`};
			this.#handle(to, {type: 'peer-message', from: identity, topic, payload});
			return;
		}

		const identity = {name: to, incarnation: `${to}-1`};
		for (const message of this.#createMirroredMessages(topic, payload)) {
			this.#handle(from, {type: 'peer-message', from: identity, ...message});
		}
	}

	/** Creates the messages of a simulated host: the reply to a request and the same request of its own. */
	#createMirroredMessages(
		topic: string,
		payload: unknown,
	): Array<{topic: string; payload: unknown}> {
		if (topic !== 'configuration/sync-request') {
			return [];
		}

		const request = payload as {id: string; versions: unknown[]};
		const reply = {
			id: request.id,
			version: 0,
			synced: true,
			leaving: false,
			storeAgeMs: 200,
			versions: request.versions,
		};
		const mirrored = {...request, id: `mirrored/${this.#mirroredCount++}`};
		return [
			{topic: 'configuration/sync-reply', payload: reply},
			{topic, payload: mirrored},
		];
	}
}

function toMeasurement(
	daemons: number,
	kind: GossipMeasurement['region'],
	trafficCounts: readonly TrafficCounts[],
	region: Region,
): GossipMeasurement {
	const total = {messages: 0, bytes: 0, storeCalls: 0};
	for (const counts of trafficCounts) {
		total.messages += counts.messages;
		total.bytes += counts.bytes;
		total.storeCalls += counts.storeCalls;
	}

	const hostSeconds = (trafficCounts.length * measuredDuration) / second;
	const largestBytes = Math.max(...trafficCounts.map(({bytes}) => bytes));
	return {
		daemons,
		region: kind,
		sentMessagesPerSecond: total.messages / hostSeconds,
		sentBytesPerSecond: total.bytes / hostSeconds,
		largestSentBytesPerSecond: (largestBytes * second) / measuredDuration,
		cpuMicrosecondsPerSecond:
			region.cpuMicroseconds /
			((region.kernels.size * measuredDuration) / second),
		storeCallsPerSecond: total.storeCalls / hostSeconds,
	};
}

/** Measures a region of an idle fleet with this number of daemons. */
export function runGossipBenchmark(daemons: number): GossipMeasurement[] {
	const hosts = Array.from({length: daemons}, (_, index) => createHost(index));
	const region = new Region(hosts);
	region.run(warmUpDuration);
	region.isCounting = true;
	region.run(measuredDuration);
	const trafficCounts = [...region.trafficCounts.values()];
	const relays = trafficCounts.filter(({storeCalls}) => storeCalls > 0);
	const others = trafficCounts.filter(({storeCalls}) => storeCalls === 0);
	return others.length === 0
		? [toMeasurement(daemons, 'all', trafficCounts, region)]
		: [
				toMeasurement(daemons, 'relays', relays, region),
				toMeasurement(daemons, 'others', others, region),
			];
}
