import {Plugin} from '@parsleyvale/kernel';
import {beliefsKey, type Beliefs} from './beliefs.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent, SteeringEventOf} from './event.js';
import type {SteeringHost} from './model.js';
import type {SteeringContext, SteeringKernel} from './types.js';

/** A caller of which one host fails needs another at once. */
const hostsToChooseFrom = 2;

/** Tells callers which hosts to use. */
export class SteeringLookUpPlugin extends Plugin<
	SteeringEvent,
	SteeringEffect
> {
	#beliefs!: Beliefs;

	get name(): string {
		return 'look-up';
	}

	install(kernel: SteeringKernel): void {
		this.#beliefs = kernel.inject(beliefsKey);
		kernel.on('look-up-arrived', (event, context) => {
			this.#answer(event, context);
		});
	}

	/**
	 * Hosts of the caller's region, so that a body goes to no region that is
	 * not its own; others only where it has none. Among them the ones with the
	 * largest processors, since callers choose at random among those named.
	 */
	#answer(
		{lookUpId, region, failureDomain}: SteeringEventOf<'look-up-arrived'>,
		context: SteeringContext,
	): void {
		const ready = this.#listReady(context);
		const ofRegion = ready.filter((host) => host.region === region);
		const ofDomain = ofRegion.filter(
			(host) => host.failureDomain === failureDomain,
		);
		const chosen = [ofDomain, ofRegion, ready].find(
			(hosts) => hosts.length >= hostsToChooseFrom,
		);
		const hosts = chosen ?? (ofRegion.length > 0 ? ofRegion : ready);
		context.emit({
			type: 'answer-look-up',
			lookUpId,
			callers: chooseLargest(hosts).map(({callers}) => callers),
		});
	}

	#listReady({now}: SteeringContext): SteeringHost[] {
		const {members, settings, isReady} = this.#beliefs;
		const others = members
			.listLive(now)
			.filter(({digest}) => digest?.isReady === true)
			.map(({host}) => host);
		return isReady ? [settings.self, ...others] : others;
	}
}

/** Hosts with at least this part of the largest processor are as good. */
const partOfLargest = 0.5;

/** Hosts with large processors, and others while these are too few. */
function chooseLargest(hosts: readonly SteeringHost[]): SteeringHost[] {
	const sorted = [...hosts].sort((a, b) => b.capacity - a.capacity);
	const least = (sorted[0]?.capacity ?? 0) * partOfLargest;
	return sorted.filter(
		({capacity}, index) => capacity >= least || index < hostsToChooseFrom,
	);
}
