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
const realHosts = 60;
const tickInterval: Milliseconds = 100;
const warmUp: Milliseconds = 5 * second;
const span: Milliseconds = 10 * second;
/** Monitored hosts, and as many as send news at random. */
const heard = 6;
const randomSteps = 2 ** 30;

/** What heartbeats and the passing on of news cost one daemon. */
export type GossipMeasurement = {
	readonly daemons: number;
	readonly region: 'all' | 'relays' | 'others';
	readonly sentMessagesPerSecond: number;
	readonly sentBytesPerSecond: number;
	readonly largestSentBytesPerSecond: number;
	readonly cpuMicrosecondsPerSecond: number;
	readonly storeCallsPerSecond: number;
};

type Tally = {messages: number; bytes: number; storeCalls: number};

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

function toRing(hosts: readonly EntryHost[]): string[] {
	return hosts
		.map(({name}) => ({
			name,
			position: createHash('sha256').update(name).digest('hex'),
		}))
		.sort((a, b) => (a.position < b.position ? -1 : 1))
		.map(({name}) => name);
}

function toHeartbeat(name: string): KernelEvent {
	return {
		type: 'peer-message',
		from: {name, incarnation: `${name}-1`},
		topic: 'membership/heartbeat',
		payload: {counter: 0, leaving: false, weight: 1, load: 0, updates: []},
	};
}

/** A whole region of real kernels; the hosts beyond it are mirrored. */
class Region {
	readonly kernels = new Map<string, Kernel>();
	readonly tallies = new Map<string, Tally>();
	isCounting = false;
	cpuMicroseconds = 0;
	readonly #queue: Array<() => void> = [];
	#now: Milliseconds = 0;
	#mirroredCount = 0;
	readonly #ring: readonly string[];

	constructor(hosts: readonly EntryHost[]) {
		this.#ring = toRing(hosts);
		const generator = xoroshiro128plus(seed);
		const random = () =>
			unsafeUniformIntDistribution(0, randomSteps - 1, generator) / randomSteps;
		for (const self of hosts.slice(0, realHosts)) {
			const kernel = createKernel({self, random})
				.use(createConfiguration())
				.use(createMembership());
			this.kernels.set(self.name, kernel);
			this.tallies.set(self.name, {messages: 0, bytes: 0, storeCalls: 0});
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

	/** Those of the hosts beyond the region whose monitor a host of it is. */
	#deliverHeartbeats(): void {
		const {length} = this.#ring;
		for (const name of this.kernels.keys()) {
			const place = this.#ring.indexOf(name);
			for (let step = 1; step <= Math.min(heard, length - 1); step++) {
				const from = this.#ring[(place - step + length) % length]!;
				if (!this.kernels.has(from)) {
					this.#handle(name, toHeartbeat(from));
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
		const before = process.cpuUsage();
		const effects = kernel.handle(event, this.#now);
		const spent = process.cpuUsage(before);
		if (this.isCounting) {
			this.cpuMicroseconds += spent.user + spent.system;
		}

		for (const effect of effects) {
			this.#perform(name, effect);
		}
	}

	#perform(name: string, effect: Effect): void {
		const tally = this.tallies.get(name)!;
		if (effect.type === 'send-peer') {
			if (this.isCounting) {
				tally.messages++;
				tally.bytes += effect.topic.length;
				tally.bytes += JSON.stringify(effect.payload).length;
			}

			this.#queue.push(() => {
				this.#send(name, effect);
			});
		} else if (effect.type === 'read-object') {
			tally.storeCalls += this.isCounting ? 1 : 0;
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
		for (const message of this.#createMirrored(topic, payload)) {
			this.#handle(from, {type: 'peer-message', from: identity, ...message});
		}
	}

	/** A host like the sender sends the same, and answers what it is asked. */
	#createMirrored(
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
	tallies: readonly Tally[],
	region: Region,
): GossipMeasurement {
	const total = {messages: 0, bytes: 0, storeCalls: 0};
	for (const tally of tallies) {
		total.messages += tally.messages;
		total.bytes += tally.bytes;
		total.storeCalls += tally.storeCalls;
	}

	const hostSeconds = (tallies.length * span) / second;
	const largest = Math.max(...tallies.map(({bytes}) => bytes));
	return {
		daemons,
		region: kind,
		sentMessagesPerSecond: total.messages / hostSeconds,
		sentBytesPerSecond: total.bytes / hostSeconds,
		largestSentBytesPerSecond: (largest * second) / span,
		cpuMicrosecondsPerSecond:
			region.cpuMicroseconds / ((region.kernels.size * span) / second),
		storeCallsPerSecond: total.storeCalls / hostSeconds,
	};
}

/** Runs a region of a fleet of so many daemons, with nothing to tell. */
export function runGossipBenchmark(daemons: number): GossipMeasurement[] {
	const hosts = Array.from({length: daemons}, (_, index) => createHost(index));
	const region = new Region(hosts);
	region.run(warmUp);
	region.isCounting = true;
	region.run(span);
	const tallies = [...region.tallies.values()];
	const relays = tallies.filter(({storeCalls}) => storeCalls > 0);
	const others = tallies.filter(({storeCalls}) => storeCalls === 0);
	return others.length === 0
		? [toMeasurement(daemons, 'all', tallies, region)]
		: [
				toMeasurement(daemons, 'relays', relays, region),
				toMeasurement(daemons, 'others', others, region),
			];
}
