import {Plugin} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {beliefsKey, type Beliefs} from './beliefs.js';
import type {Digest} from './digest.js';
import {toLoadReport} from './load-report.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent} from './event.js';
import {limitsKey, type Limits} from './limits.js';
import type {Member} from './members.js';
import {placerKey, type Placer} from './placer.js';
import type {SteeringContext, SteeringKernel} from './types.js';

/** Hosts of a region share its servers: each hears of others' load in less than an answer's work. */
const regionInterval: Milliseconds = 100;
/** Hosts of other regions get digests less often: links between regions cost more. */
const fleetInterval: Milliseconds = 500;
/** Among more hosts than this, each sends less often, so that the sum grows with the hosts alone. */
const hostsAtFullPace = 20;
/** The same for those of a region. */
const regionHostsAtFullPace = 4;
/** Hosts that follow the store confirm the configuration to all this often: a fifth of the time for which keys count as fresh. */
const confirmInterval: Milliseconds = 1000;
/** A host that has just started tells all, until none takes it for silent any more. */
const introductionTime: Milliseconds = 6000;
/** What others must hear at once is sent after this time at the earliest. */
const reportInterval: Milliseconds = 50;
/** What servers handled goes out with two digests to all hosts, so that one may be lost. */
const digestsWithHandled = 2;
/** Entries of hosts that are gone are looked for this often. */
const cleanInterval: Milliseconds = 5000;

/**
 * Tells the other hosts what this one holds and does. Hosts with a part of the
 * load tell each other of theirs; all others get short digests, from which they
 * learn that a host lives and whether it knows something newer of the store.
 */
export class DigestPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	#beliefs!: Beliefs;
	#limits!: Limits;
	#placer!: Placer;
	#sequence = 0;
	#lastInRegion: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastToActive: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastToAll: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastClean: Milliseconds = 0;
	#wasActive = false;
	#startedAt: Milliseconds | undefined;
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
			this.#sendShort(this.#beliefs.members.listKnown(), context);
		});
	}

	#sendWhenDue(context: SteeringContext): void {
		const {now} = context;
		const {members} = this.#beliefs;
		const known = members.listKnown();
		const pace = toPace(known.length, hostsAtFullPace);
		this.#reportNews(known, pace, context);
		const isActive = this.#beliefs.isActive(now);
		const interval = this.#beliefs.isReading
			? Math.min(confirmInterval, fleetInterval * pace)
			: fleetInterval * pace;
		if (now - this.#lastToAll >= interval) {
			this.#lastToAll = now;
			this.#sendToAll(known, isActive, context);
		}

		if (isActive && !this.#wasActive) {
			// Hosts that came under load together do not know it of each other.
			this.#sendWhole(known, context);
		}

		this.#wasActive = isActive;
		if (isActive) {
			this.#reportLoad(context);
		}
	}

	/** What is new of the store goes to all from hosts that read it, and on within a failure domain. */
	#reportNews(
		known: readonly Member[],
		pace: number,
		context: SteeringContext,
	): void {
		const {now} = context;
		const {settings, isReading} = this.#beliefs;
		const isDue = now - this.#lastToAll >= reportInterval * pace;
		if (!isDue || !this.#hasUnreported()) {
			return;
		}

		this.#markReported();
		if (isReading) {
			this.#lastToAll = now;
			this.#sendShort(known, context);
		} else if (this.#beliefs.isActive(now)) {
			const {failureDomain} = settings.self;
			this.#sendShort(
				known.filter(({host}) => host.failureDomain === failureDomain),
				context,
			);
		}
	}

	/** Load and customers' counts go to hosts that have requests, too. */
	#reportLoad(context: SteeringContext): void {
		const {now} = context;
		const {settings} = this.#beliefs;
		const active = this.#listActive(now);
		const pace = toPace(active.length, hostsAtFullPace);
		const sinceActive = now - this.#lastToActive;
		const isReportDue =
			sinceActive >= reportInterval * pace &&
			this.#limits.rates.hasUnreported();
		if (isReportDue || sinceActive >= fleetInterval * pace) {
			this.#sendWhole(active, context);
			return;
		}

		const near = active.filter(
			({host}) => host.region === settings.self.region,
		);
		const regionPace = toPace(near.length, regionHostsAtFullPace);
		if (now - this.#lastInRegion >= regionInterval * regionPace) {
			this.#lastInRegion = now;
			this.#send(near, this.#createWholeDigest(now), context);
		}
	}

	/**
	 * Active hosts, which count customers' rates, also hear what an idle one
	 * admitted. Idle hosts of different regions need not hear each other.
	 */
	#sendToAll(
		known: readonly Member[],
		isActive: boolean,
		context: SteeringContext,
	): void {
		const {now} = context;
		const active = new Set(this.#listActive(now));
		const {isReading, settings} = this.#beliefs;
		this.#startedAt ??= now;
		const isNew = now - this.#startedAt < introductionTime;
		const isToAll = isActive || isReading || isNew;
		const idle = known.filter(
			(member) =>
				!active.has(member) &&
				(isToAll || member.host.region === settings.self.region),
		);
		this.#sendShort(idle, context);
		if (!isActive) {
			const customers = this.#limits.rates.describe(now);
			const digest = {...this.#createDigest(now), customers};
			this.#send([...active], digest, context);
			this.#limits.rates.markReported();
		}
	}

	#listActive(now: Milliseconds): readonly Member[] {
		const {members, activity} = this.#beliefs;
		return members.listActive(activity.computePerSecond(now));
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

	#markReported(): void {
		const {configuration, fleet} = this.#beliefs;
		this.#reportedVersion = configuration.version;
		this.#reportedRevision = fleet.revision;
		this.#reportedEvacuations = fleet.evacuationsRevision;
	}

	#sendWhole(to: readonly Member[], context: SteeringContext): void {
		this.#lastInRegion = context.now;
		this.#lastToActive = context.now;
		this.#send(to, this.#createWholeDigest(context.now), context);
		this.#limits.rates.markReported();
	}

	#sendShort(to: readonly Member[], context: SteeringContext): void {
		this.#send(to, this.#createDigest(context.now), context);
	}

	#send(to: readonly Member[], digest: Digest, context: SteeringContext): void {
		if (to.length > 0) {
			const hosts = to.map(({host}) => host);
			context.emit({type: 'send-digest', to: hosts, digest});
		}
	}

	#createWholeDigest(now: Milliseconds): Digest {
		const {fleet} = this.#beliefs;
		const pace = toPace(this.#listActive(now).length, hostsAtFullPace);
		const handledSpan = digestsWithHandled * fleetInterval * pace;
		return {
			...this.#createDigest(now),
			...toLoadReport(fleet.states, now),
			handled: this.#placer.listHandled(now - handledSpan),
			customers: this.#limits.rates.describe(now),
		};
	}

	#createDigest(now: Milliseconds): Digest {
		const {
			settings,
			configuration,
			fleet,
			isReading,
			isStoreLost,
			storeOutage,
			isReady,
			activity,
		} = this.#beliefs;
		const {self} = settings;
		const age = configuration.computeAge(now);
		this.#sequence += 1;
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
			requestsPerSecond: Math.round(activity.computePerSecond(now) * 10) / 10,
			configurationVersion: configuration.version,
			configurationAgeMs: Number.isFinite(age) ? Math.ceil(age) : null,
			isReading,
			isStoreLost,
			storeRegainedAgoMs: storeOutage.computeRegainedAgo(now),
			fleetRevision: fleet.revision,
			evacuationsRevision: fleet.evacuationsRevision,
		};
	}

	/**
	 * The busy host with the first name removes old entries: an idle one does
	 * not hear idle hosts of other regions, which live all the same.
	 */
	#cleanWhenDue(context: SteeringContext): void {
		const {now} = context;
		if (now - this.#lastClean < cleanInterval) {
			return;
		}

		this.#lastClean = now;
		const {members, settings} = this.#beliefs;
		const isFirst = this.#listActive(now).every(
			({host}) => host.name > settings.self.name,
		);
		if (isFirst && this.#beliefs.isActive(now)) {
			for (const name of members.listGone(now)) {
				context.emit({type: 'remove-host-entry', name});
			}
		}
	}
}

/** How many times longer the intervals are among so many hosts. */
function toPace(hosts: number, hostsAtFullPaceOfGroup: number): number {
	return Math.max(1, hosts / hostsAtFullPaceOfGroup);
}
