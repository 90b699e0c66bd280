import {Plugin} from '@parsleyvale/kernel';
import {hostStateKey, type HostState} from './host-state.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent, SteeringEventOf} from './event.js';
import type {SteeringHost} from './model.js';
import type {SteeringContext, SteeringKernel} from './types.js';

/** Minimum number of hosts in an answer, so that the caller has an alternative if one fails. */
const minimumHosts = 2;

/** Answers callers' look-ups of the hosts to use. */
export class SteeringLookUpPlugin extends Plugin<
	SteeringEvent,
	SteeringEffect
> {
	#hostState!: HostState;

	get name(): string {
		return 'look-up';
	}

	install(kernel: SteeringKernel): void {
		this.#hostState = kernel.inject(hostStateKey);
		kernel.on('look-up-arrived', (event, context) => {
			this.#answer(event, context);
		});
	}

	/**
	 * Answers with hosts of the caller's region, so that bodies stay in it, and with
	 * others only if it has none. Prefers hosts with more capacity, since callers
	 * choose at random among the answer.
	 */
	#answer(
		{lookUpId, region, failureDomain}: SteeringEventOf<'look-up-arrived'>,
		context: SteeringContext,
	): void {
		const ready = this.#listReady(context);
		const inRegion = ready.filter((host) => host.region === region);
		const inDomain = inRegion.filter(
			(host) => host.failureDomain === failureDomain,
		);
		const chosen = [inDomain, inRegion, ready].find(
			(hosts) => hosts.length >= minimumHosts,
		);
		const hosts = chosen ?? (inRegion.length > 0 ? inRegion : ready);
		context.emit({
			type: 'answer-look-up',
			lookUpId,
			callers: selectLargest(hosts).map(({callers}) => callers),
		});
	}

	#listReady({now}: SteeringContext): SteeringHost[] {
		const {members, settings, isReady} = this.#hostState;
		const others = members.listNameable(now).map(({host}) => host);
		return isReady ? [settings.self, ...others] : others;
	}
}

/** Hosts with at least this fraction of the largest capacity are equally preferred. */
const minimumCapacityFraction = 0.5;

/** Returns the hosts with large capacity, and smaller ones if these are too few. */
function selectLargest(hosts: readonly SteeringHost[]): SteeringHost[] {
	const sorted = [...hosts].sort((a, b) => b.capacity - a.capacity);
	const minimumCapacity = (sorted[0]?.capacity ?? 0) * minimumCapacityFraction;
	return sorted.filter(
		({capacity}, index) => capacity >= minimumCapacity || index < minimumHosts,
	);
}
