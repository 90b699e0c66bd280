import {Plugin} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {beliefsKey, type Beliefs} from './beliefs.js';
import type {Digest} from './digest.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent} from './event.js';
import {limitsKey, type Limits} from './limits.js';
import {placerKey, type Placer} from './placer.js';
import type {SteeringContext, SteeringKernel} from './types.js';

/** Hosts of a region share its servers: each hears of others' load in less than an answer's work. */
const regionInterval: Milliseconds = 100;
/** Hosts of other regions get digests less often: links between regions cost more. */
const fleetInterval: Milliseconds = 500;
/** In a fleet of more hosts than this, each tells all less often, so that the sum grows with the hosts alone. */
const fleetAtFullPace = 25;
/** What others must hear at once is sent after this time at the earliest. */
const reportInterval: Milliseconds = 50;
/** In a region of more hosts than this, each sends less often, so that the sum stays. */
const hostsAtFullPace = 4;
/** What servers handled is sent with two digests to all hosts, so that one may be lost. */
const handledSpan: Milliseconds = 1000;
/** Entries of hosts that are gone are looked for this often. */
const cleanInterval: Milliseconds = 5000;

/** Tells the other hosts what this one holds and does. */
export class DigestPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	#beliefs!: Beliefs;
	#limits!: Limits;
	#placer!: Placer;
	#sequence = 0;
	#lastInRegion: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastInFleet: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastClean: Milliseconds = 0;
	#reportedVersion = -1;
	#reportedRevision = -1;
	#reportedEvacuations = -1;

	get name(): string {
		return 'digest';
	}

	install(kernel: SteeringKernel): void {
		this.#beliefs = kernel.inject(beliefsKey);
		this.#limits = kernel.inject(limitsKey);
		this.#placer = kernel.inject(placerKey);
		kernel.on('tick', (_event, context) => {
			this.#sendWhenDue(context);
			this.#cleanWhenDue(context);
		});
		kernel.on('stop-requested', (_event, context) => {
			this.#send(true, context);
		});
	}

	#sendWhenDue(context: SteeringContext): void {
		const {now} = context;
		const {members, settings} = this.#beliefs;
		const known = members.listKnown();
		const sinceAll = now - this.#lastInFleet;
		const isReportDue =
			sinceAll >= reportInterval &&
			(this.#hasUnreported() || this.#limits.rates.hasUnreported());
		const fleetPace = Math.max(1, known.length / fleetAtFullPace);
		if (isReportDue || sinceAll >= fleetInterval * fleetPace) {
			this.#send(true, context);
			return;
		}

		const inRegion = known.filter(
			({host}) => host.region === settings.self.region,
		).length;
		const pace = Math.max(1, inRegion / hostsAtFullPace);
		if (now - this.#lastInRegion >= regionInterval * pace) {
			this.#send(false, context);
		}
	}

	/** Whether this host has read something from the store that others have not heard of. */
	#hasUnreported(): boolean {
		const {configuration, fleet} = this.#beliefs;
		return (
			configuration.version !== this.#reportedVersion ||
			fleet.revision !== this.#reportedRevision ||
			fleet.evacuationsRevision !== this.#reportedEvacuations
		);
	}

	#send(isToAll: boolean, context: SteeringContext): void {
		const {members, settings} = this.#beliefs;
		this.#lastInRegion = context.now;
		if (isToAll) {
			this.#lastInFleet = context.now;
			this.#reportedVersion = this.#beliefs.configuration.version;
			this.#reportedRevision = this.#beliefs.fleet.revision;
			this.#reportedEvacuations = this.#beliefs.fleet.evacuationsRevision;
		}

		const to = members
			.listKnown()
			.map(({host}) => host)
			.filter(({region}) => isToAll || region === settings.self.region);
		if (to.length > 0) {
			const digest = this.#createDigest(context.now);
			context.emit({type: 'send-digest', to, digest});
		}
	}

	#createDigest(now: Milliseconds): Digest {
		const {settings, configuration, fleet, isStoreLost, isReady} =
			this.#beliefs;
		const {self} = settings;
		const age = configuration.computeAge(now);
		this.#sequence += 1;
		const inFlight: Record<string, number> = {};
		const firstWork: Array<[string, number, number]> = [];
		for (const [id, state] of fleet.states) {
			if (state.running.size > 0) {
				inFlight[id] = state.running.size;
			}

			for (const {objectHash, sentAt, expected} of state.running) {
				if (!state.hasHandled(objectHash)) {
					const left = Math.max(0, Math.round(sentAt + expected - now));
					firstWork.push([id, objectHash, left]);
				}
			}
		}

		return {
			name: self.name,
			incarnation: self.incarnation,
			sequence: this.#sequence,
			region: self.region,
			failureDomain: self.failureDomain,
			callers: self.callers,
			capacity: self.capacity,
			address: self.peerAddress,
			port: self.peerPort,
			isReady,
			configurationVersion: configuration.version,
			configurationAgeMs: Number.isFinite(age) ? Math.ceil(age) : null,
			isStoreLost,
			fleetRevision: fleet.revision,
			evacuationsRevision: fleet.evacuationsRevision,
			inFlight,
			firstWork,
			handled: this.#placer.listHandled(now - handledSpan),
			customers: this.#limits.rates.describe(now),
		};
	}

	/** The host with the first name of those that live removes old entries. */
	#cleanWhenDue(context: SteeringContext): void {
		const {now} = context;
		if (now - this.#lastClean < cleanInterval) {
			return;
		}

		this.#lastClean = now;
		const {members, settings} = this.#beliefs;
		const isFirst = members
			.listLive(now)
			.every(({host}) => host.name > settings.self.name);
		if (isFirst) {
			for (const name of members.listGone(now)) {
				context.emit({type: 'remove-host-entry', name});
			}
		}
	}
}
