import {createServiceKey} from '@parsleyvale/kernel';
import {second, type Milliseconds} from '@parsleyvale/shared';
import {computeHash} from '../hash.js';
import type {Members} from '../members.js';
import type {Digest} from '../messages/digest.js';
import type {BackendServer} from '../model.js';
import {CrashRecords, type Crash, type Suspect} from './crash-records.js';

/** A server that responds within this time after a lost connection has not crashed; later, it may have been restarted. */
const aliveWindow: Milliseconds = 1.5 * second;
/** Responses that a server sent before it crashed may be read this long after. */
const residualTime: Milliseconds = 0.1 * second;
/** Requests with this many crashes are not sent to a second server. */
const crashesWithoutRetry = 2;
/** After a block, the hosts may try the request one after the other, each for this long. */
const turnDuration: Milliseconds = 5 * second;
/** A host tries the request again if there is no result after this time. */
const trialTimeout: Milliseconds = 5 * second;
/** How long crashes of requests that are not blocked, and answers to them, are reported. */
const reportDuration: Milliseconds = 10 * second;
/** Reported in one digest, which then still fits into a packet. */
const maximumReportedCrashes = 24;
const maximumReportedAnswers = 8;
/** Crashes of a blocked request that are reported: enough to have it blocked, and the last one. */
const reportedOfCulprit = 4;
const maximumAnswered = 256;

export type CrashGuardOptions = {
	readonly self: string;
	readonly members: Members;
};

/**
 * Keeps requests from servers that crash each server which runs them. A request is
 * identified by its fingerprint and its customer. Hosts tell each other which
 * requests were at a server when it crashed; one that explains three crashes is
 * blocked, and one that is answered is cleared.
 */
export class CrashGuard {
	readonly #options: CrashGuardOptions;
	readonly #records = new CrashRecords();
	/** Servers whose connections were lost lately. */
	readonly #lostAt = new Map<number, Milliseconds>();
	/** When suspects were answered, and so cleared. */
	readonly #answeredAt = new Map<string, Milliseconds>();
	readonly #trialsAt = new Map<string, Milliseconds>();

	constructor(options: CrashGuardOptions) {
		this.#options = options;
	}

	/** The requests that explain crashes, blocked or waiting for another try. */
	get culprits(): ReadonlyMap<string, Suspect> {
		return this.#records.culprits;
	}

	/** Number of requests that are remembered. */
	get suspectCount(): number {
		return this.#records.size;
	}

	/** Whether the request must not be sent to a server now. */
	isBlocked(identity: string, now: Milliseconds): boolean {
		return now < this.#getBlockedUntil(identity);
	}

	/** Returns undefined if an arrived request may be sent, else when to come back. */
	tryAdmit(identity: string, now: Milliseconds): Milliseconds | undefined {
		if (!this.culprits.has(identity)) {
			return undefined;
		}

		const turnAt =
			this.#getBlockedUntil(identity) +
			this.#computeRank(identity, now) * turnDuration;
		const trialEndsAt =
			(this.#trialsAt.get(identity) ?? Number.NEGATIVE_INFINITY) + trialTimeout;
		const admittedAt = Math.max(turnAt, trialEndsAt);
		if (now < admittedAt) {
			return admittedAt - now;
		}

		this.#trialsAt.set(identity, now);
		return undefined;
	}

	/** Whether the request may be sent to another server after a failed attempt. */
	mayRetry(identity: string): boolean {
		const {crashCount = 0} = this.#records.findSuspect(identity) ?? {};
		return crashCount < crashesWithoutRetry;
	}

	/** A server closed the connection of a request without any response. */
	onConnectionLost(
		identity: string,
		server: BackendServer,
		now: Milliseconds,
	): void {
		const serverHash = hashServer(server);
		this.#lostAt.set(serverHash, now);
		this.#answeredAt.delete(identity);
		const crash = {server: serverHash, at: now, isOwn: true};
		this.#records.add(identity, crash, now);
	}

	/** A server answered the request, so that it crashes none. */
	onAnswered(identity: string, now: Milliseconds): void {
		if (this.#records.findSuspect(identity) !== undefined) {
			this.#clear(identity, now);
		}
	}

	/** A server responded to any request, so that it has not crashed. */
	onServerResponded(server: BackendServer, now: Milliseconds): void {
		if (this.#lostAt.size === 0) {
			return;
		}

		const serverHash = hashServer(server);
		const lostAt = this.#lostAt.get(serverHash);
		if (
			lostAt !== undefined &&
			now > lostAt + residualTime &&
			now < lostAt + aliveWindow
		) {
			this.#lostAt.delete(serverHash);
			this.#records.removeWhere((crash) => crash.server === serverHash);
		}
	}

	onDigest(digest: Digest, now: Milliseconds): void {
		for (const [identity, age] of digest.answeredSuspects ?? []) {
			const at = now - age;
			if (at > (this.#answeredAt.get(identity) ?? Number.NEGATIVE_INFINITY)) {
				this.#clear(identity, at);
			}
		}

		for (const [identity, server, age] of digest.crashes ?? []) {
			const at = now - age;
			if (at > (this.#answeredAt.get(identity) ?? Number.NEGATIVE_INFINITY)) {
				this.#records.add(identity, {server, at, isOwn: false}, now);
			}
		}
	}

	onTick(now: Milliseconds): void {
		this.#records.removeForgotten(now);
		removeBefore(this.#lostAt, now - aliveWindow);
		removeBefore(this.#answeredAt, now - reportDuration);
		removeBefore(this.#trialsAt, now - trialTimeout);
	}

	/** Crashes and answers to report to other hosts; empty unless there were any. */
	createReport(
		now: Milliseconds,
	): Pick<Digest, 'crashes' | 'answeredSuspects'> {
		const crashes = this.#listReported(now).map(
			([identity, {server, at}]): [string, number, number] => [
				identity,
				server,
				Math.round(now - at),
			],
		);
		const answered = [...this.#answeredAt].map(
			([identity, at]): [string, number] => [identity, Math.round(now - at)],
		);
		return {
			...(crashes.length > 0 && {crashes}),
			...(answered.length > 0 && {
				answeredSuspects: answered.slice(-maximumReportedAnswers),
			}),
		};
	}

	/** Crashes of blocked requests first, then of those with the most and the latest crashes. */
	#listReported(now: Milliseconds): Array<[string, Crash]> {
		const reported: Array<[string, Crash]> = [];
		for (const {identity, crashes} of this.#records.listBySuspicion()) {
			const selected = this.culprits.has(identity)
				? selectOfCulprit(crashes)
				: crashes.filter(({isOwn, at}) => isOwn && now - at < reportDuration);
			for (const crash of selected) {
				reported.push([identity, crash]);
			}
		}

		return reported.slice(0, maximumReportedCrashes);
	}

	#clear(identity: string, at: Milliseconds): void {
		this.#records.removeWhere((crash) => crash.at <= at, identity);
		this.#answeredAt.delete(identity);
		this.#answeredAt.set(identity, at);
		if (this.#answeredAt.size > maximumAnswered) {
			const [oldest] = this.#answeredAt.keys();
			this.#answeredAt.delete(oldest!);
		}
	}

	#getBlockedUntil(identity: string): Milliseconds {
		return (
			this.culprits.get(identity)?.blockedUntil ?? Number.NEGATIVE_INFINITY
		);
	}

	/** Position of this host in an order of the live hosts that differs from request to request. */
	#computeRank(identity: string, now: Milliseconds): number {
		const {self, members} = this.#options;
		const ownHash = computeHash(`${identity}/${self}`);
		return members
			.listLive(now)
			.filter(({host}) => computeHash(`${identity}/${host.name}`) > ownHash)
			.length;
	}
}

export const crashGuardKey = createServiceKey<CrashGuard>('crash-guard');

/**
 * Identifies a request by its fingerprint and its customer.
 *
 * @example
 * createRequestIdentity('3f9a6c0d8e1b2745', 'school'); // '3f9a6c0d8e1b2745' and 8 digits
 */
export function createRequestIdentity(
	fingerprint: string,
	customer: string | undefined,
): string {
	const customerHash = computeHash(customer ?? '').toString(16);
	return `${fingerprint}${customerHash.padStart(8, '0')}`;
}

function selectOfCulprit(crashes: readonly Crash[]): readonly Crash[] {
	return crashes.filter(
		(_crash, index) =>
			index < reportedOfCulprit - 1 || index === crashes.length - 1,
	);
}

/** Each incarnation of a server can crash once. */
function hashServer({id, incarnation}: BackendServer): number {
	return computeHash(`${id}/${incarnation}`);
}

function removeBefore<Key>(
	times: Map<Key, Milliseconds>,
	time: Milliseconds,
): void {
	for (const [key, at] of times) {
		if (at < time) {
			times.delete(key);
		}
	}
}
