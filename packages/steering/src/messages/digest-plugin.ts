import {Plugin} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {crashGuardKey, type CrashGuard} from '../crashes/crash-guard.js';
import {hostStateKey, type HostState} from '../host-state.js';
import type {SteeringEffect} from '../effect.js';
import type {SteeringEvent} from '../event.js';
import {limitsKey, type Limits} from '../limits.js';
import type {Member} from '../members.js';
import {placerKey, type Placer} from '../placement/placer.js';
import {comparePositions, unreadPosition} from '../store-position.js';
import type {SteeringContext, SteeringKernel} from '../types.js';
import {DigestReceivers} from './digest-receivers.js';
import {createLoadReport} from './load-report.js';
import type {Digest} from './digest.js';

/** Interval within a region, whose hosts share its servers: shorter than the processing time of an answer. */
const regionInterval: Milliseconds = 100;
/** Interval to hosts of other regions: longer, since links between regions cost more. */
const fleetInterval: Milliseconds = 500;
/** With more hosts than this, each sends less often, so that the total traffic grows linearly with the hosts. */
const hostsAtFullRate = 20;
/** The same limit for the hosts of a region. */
const regionHostsAtFullRate = 4;
/** Interval at which hosts that read from the store confirm the configuration to all: a fifth of the time for which a confirmation is valid. */
const confirmInterval: Milliseconds = 1000;
/** Maximum interval between digests of an active host to all hosts of its region, whose look-ups name it. */
const regionAnnouncementInterval: Milliseconds = 2000;
/** A starting host sends digests to all hosts for this long, so that all of them discover it. */
const startAnnouncementDuration: Milliseconds = 6000;
/** Minimum interval between digests that report changes immediately. */
const reportInterval: Milliseconds = 50;
/** Minimum interval between digests to all active hosts that report requests to servers with a rate limit. */
const serverReportInterval: Milliseconds = 200;
/** What responses have told is reported in this many consecutive digests, so that one may be lost. */
const digestsWithResponses = 2;
/** Interval at which expired host entries are removed from the store. */
const cleanupInterval: Milliseconds = 5000;

/**
 * Sends digests of this host's state to the other hosts. Active hosts exchange
 * full digests with their load; all others get short ones, which show that a host
 * is live and whether it has newer data from the store.
 */
export class DigestPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	#hostState!: HostState;
	#receivers!: DigestReceivers;
	#limits!: Limits;
	#placer!: Placer;
	#crashGuard!: CrashGuard;
	#sequence = 0;
	#lastSentInRegion: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastSentToActive: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastSentToAll: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastSentToRegion: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastCountsSentAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#lastCleanupAt: Milliseconds = 0;
	#wasActive = false;
	#startedAt: Milliseconds | undefined;
	#reportedVersion = -1;
	#reportedPosition = unreadPosition;
	#reportedEvacuationsPosition = unreadPosition;

	get name(): string {
		return 'digest';
	}

	install(kernel: SteeringKernel): void {
		this.#hostState = kernel.inject(hostStateKey);
		this.#receivers = new DigestReceivers(this.#hostState);
		this.#limits = kernel.inject(limitsKey);
		this.#placer = kernel.inject(placerKey);
		this.#crashGuard = kernel.inject(crashGuardKey);
		kernel.on('tick', (_event, context) => {
			this.#sendWhenDue(context);
			this.#cleanUpWhenDue(context);
		});
		kernel.on('hosts-listed', (_event, context) => {
			this.#reportStart(context);
		});
		kernel.on('stop-requested', (_event, context) => {
			this.#sendShort(this.#hostState.members.listKnown(), context);
		});
	}

	#sendWhenDue(context: SteeringContext): void {
		const {now} = context;
		const {members} = this.#hostState;
		const knownMembers = members.listKnown();
		const intervalFactor = computeIntervalFactor(
			knownMembers.length,
			hostsAtFullRate,
		);
		this.#reportChanges(knownMembers, intervalFactor, context);
		const isActive = this.#hostState.isActive(now);
		const interval = this.#hostState.isReading
			? Math.min(confirmInterval, fleetInterval * intervalFactor)
			: fleetInterval * intervalFactor;
		if (now - this.#lastSentToAll >= interval) {
			this.#lastSentToAll = now;
			this.#lastSentToRegion = now;
			this.#sendToAll(isActive, context);
		} else if (
			isActive &&
			now - this.#lastSentToRegion >= regionAnnouncementInterval
		) {
			this.#lastSentToRegion = now;
			this.#sendShort(this.#receivers.listIdleInRegion(now), context);
		}

		if (isActive && !this.#wasActive) {
			// Hosts that become active together do not know yet that the others are active.
			this.#sendFull(knownMembers, context);
		}

		this.#wasActive = isActive;
		if (isActive) {
			this.#reportLoad(context);
		}
	}

	/**
	 * A starting host announces itself to the listed hosts that it has not heard
	 * from. Until then they keep shares of the customers' rates for each other,
	 * so that a fleet that restarts as a whole refuses most requests.
	 */
	#reportStart(context: SteeringContext): void {
		if (this.#isStarting(context.now)) {
			this.#sendShort(this.#receivers.listUnheard(), context);
		}
	}

	#isStarting(now: Milliseconds): boolean {
		this.#startedAt ??= now;
		return now - this.#startedAt < startAnnouncementDuration;
	}

	/** Announces changes from the store: to all hosts if this one reads from the store, else within its failure domain. */
	#reportChanges(
		knownMembers: readonly Member[],
		intervalFactor: number,
		context: SteeringContext,
	): void {
		const {now} = context;
		const {settings, isReading} = this.#hostState;
		const isDue = now - this.#lastSentToAll >= reportInterval * intervalFactor;
		if (!isDue || !this.#hasUnreportedChanges()) {
			return;
		}

		this.#markReported();
		if (isReading) {
			this.#lastSentToAll = now;
			this.#sendShort(knownMembers, context);
		} else if (this.#hostState.isActive(now)) {
			const {failureDomain} = settings.self;
			this.#sendShort(
				knownMembers.filter(({host}) => host.failureDomain === failureDomain),
				context,
			);
		}
	}

	/** Reports load and customers' counts to the active hosts. */
	#reportLoad(context: SteeringContext): void {
		const {now} = context;
		const active = this.#receivers.listActive(now);
		const intervalFactor = computeIntervalFactor(
			active.length,
			hostsAtFullRate,
		);
		const sinceActive = now - this.#lastSentToActive;
		const {rates, serverRates} = this.#limits;
		const mayReport = sinceActive >= reportInterval * intervalFactor;
		if (
			(mayReport && rates.hasUrgentReport()) ||
			sinceActive >= fleetInterval * intervalFactor
		) {
			this.#sendFull(active, context);
			return;
		}

		const sinceCounts = now - this.#lastCountsSentAt;
		const areCountsDue =
			(sinceCounts >= reportInterval * intervalFactor &&
				rates.isNearUnreportedLimit()) ||
			(sinceCounts >= serverReportInterval * intervalFactor &&
				serverRates.isNearUnreportedLimit());
		if (areCountsDue) {
			this.#lastCountsSentAt = now;
			this.#sendCounts(active, context);
		}

		const inRegion = this.#receivers.listActiveInRegion(now);
		const regionIntervalFactor = computeIntervalFactor(
			inRegion.length,
			regionHostsAtFullRate,
		);
		if (now - this.#lastSentInRegion >= regionInterval * regionIntervalFactor) {
			this.#lastSentInRegion = now;
			this.#send(inRegion, this.#createFullDigest(now), context);
		}
	}

	/**
	 * Sends short digests to idle hosts. An idle host also sends its admissions to
	 * the active hosts, which enforce customers' rates, and omits idle hosts of
	 * other regions, or of other failure domains if its own is large.
	 */
	#sendToAll(isActive: boolean, context: SteeringContext): void {
		const {now} = context;
		const {isReading} = this.#hostState;
		const includesAllRegions = isActive || isReading || this.#isStarting(now);
		const idle = includesAllRegions
			? this.#receivers.listIdle(now)
			: this.#receivers.listIdleNeighbours(now);
		this.#sendShort(idle, context);
		if (!isActive) {
			const digest = {...this.#createDigest(now), ...this.#createCounts(now)};
			this.#send(this.#receivers.listActive(now), digest, context);
			this.#markCountsReported({isPartial: false});
		}
	}

	/** Whether this host has newer data from the store than it has announced. */
	#hasUnreportedChanges(): boolean {
		const {configuration, serverTable} = this.#hostState;
		return (
			configuration.version !== this.#reportedVersion ||
			comparePositions(serverTable.position, this.#reportedPosition) !== 0 ||
			comparePositions(
				serverTable.evacuationsPosition,
				this.#reportedEvacuationsPosition,
			) !== 0
		);
	}

	#markReported(): void {
		const {configuration, serverTable} = this.#hostState;
		this.#reportedVersion = configuration.version;
		this.#reportedPosition = serverTable.position;
		this.#reportedEvacuationsPosition = serverTable.evacuationsPosition;
	}

	#sendFull(to: readonly Member[], context: SteeringContext): void {
		this.#lastSentInRegion = context.now;
		this.#lastSentToActive = context.now;
		this.#send(to, this.#createFullDigest(context.now), context);
		this.#markCountsReported({isPartial: false});
	}

	/** Sends the numbers that have changed, which is much less than a full digest. */
	#sendCounts(to: readonly Member[], context: SteeringContext): void {
		const {now} = context;
		const {rates, serverRates} = this.#limits;
		const digest = {
			...this.#createDigest(now),
			customers: rates.summarizeChanged(now),
			servers: serverRates.summarizeChanged(now),
			areCountsPartial: true,
		};
		this.#send(to, digest, context);
		this.#markCountsReported({isPartial: true});
	}

	#createCounts(
		now: Milliseconds,
	): Pick<Digest, 'customers' | 'servers' | 'rateLimits'> {
		const {rates, serverRates} = this.#limits;
		return {
			customers: rates.summarize(now),
			servers: serverRates.summarize(now),
			rateLimits: serverRates.listLimits(this.#getReportStart(now), now),
		};
	}

	#markCountsReported({isPartial}: {readonly isPartial: boolean}): void {
		this.#limits.rates.markReported({isPartial});
		this.#limits.serverRates.markReported({isPartial});
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

	#createFullDigest(now: Milliseconds): Digest {
		const {serverTable} = this.#hostState;
		return {
			...this.#createDigest(now),
			...createLoadReport(serverTable.states, now),
			handled: this.#placer.listHandled(this.#getReportStart(now)),
			...this.#createCounts(now),
		};
	}

	/** Returns the time since which responses are reported. */
	#getReportStart(now: Milliseconds): Milliseconds {
		const intervalFactor = computeIntervalFactor(
			this.#receivers.listActive(now).length,
			hostsAtFullRate,
		);
		return now - digestsWithResponses * fleetInterval * intervalFactor;
	}

	#createDigest(now: Milliseconds): Digest {
		const {
			settings,
			configuration,
			serverTable,
			isReading,
			isStoreUnreachable,
			storeOutage,
			isReady,
			requestRate,
		} = this.#hostState;
		const {self} = settings;
		const age = configuration.computeConfirmationAge(now);
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
			requestsPerSecond:
				Math.round(requestRate.computePerSecond(now) * 10) / 10,
			configurationVersion: configuration.version,
			configurationAgeMs: Number.isFinite(age) ? Math.ceil(age) : null,
			isReading,
			isStoreLost: isStoreUnreachable,
			storeRegainedAgoMs: storeOutage.computeTimeSinceOutage(now),
			fleetPosition: serverTable.position,
			evacuationsPosition: serverTable.evacuationsPosition,
			...this.#crashGuard.createReport(now),
		};
	}

	/**
	 * The active host with the lowest name removes expired entries. An idle host
	 * must not, since it gets no digests from live idle hosts of other regions.
	 */
	#cleanUpWhenDue(context: SteeringContext): void {
		const {now} = context;
		if (now - this.#lastCleanupAt < cleanupInterval) {
			return;
		}

		this.#lastCleanupAt = now;
		const {members, settings} = this.#hostState;
		const isCleaner = this.#receivers
			.listActive(now)
			.every(({host}) => host.name > settings.self.name);
		if (isCleaner && this.#hostState.isActive(now)) {
			for (const name of members.listExpired(now)) {
				context.emit({type: 'remove-host-entry', name});
			}
		}
	}
}

/** Computes the factor by which intervals are longer with this many hosts. */
function computeIntervalFactor(hosts: number, fullRateLimit: number): number {
	return Math.max(1, hosts / fullRateLimit);
}
