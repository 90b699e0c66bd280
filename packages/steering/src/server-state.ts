import {second, type Milliseconds} from '@parsleyvale/shared';
import type {ReportedLoad} from './event.js';
import type {KnownObjects} from './known-objects.js';
import type {ObjectMemory} from './object-memory.js';
import type {BackendServer} from './model.js';

/** How long a reported load says something of the present; about one answer's work. */
const reportLifetime: Milliseconds = 400;
/** A server with this many failures in a row gets nothing for a while. */
const failuresToEject = 2;
/** First pause after an ejection; each further one doubles it. */
const shortestEjection: Milliseconds = second;
const longestEjection: Milliseconds = 8 * second;
/** Weight of the newest answer in a server's slowness: about ten answers count. */
const slownessGain = 0.15;
const fastest = 0.3;
const slowest = 30;
/** Objects that are remembered of a server, the latest ones: more than servers keep. */
const rememberedObjects = 64;

/** A request that runs at a server. */
export type Running = {
	readonly sentAt: Milliseconds;
	/** How long an answer was expected to take. */
	readonly expected: Milliseconds;
	readonly objectHash: number;
};

/** What this host has seen and heard of one backend server. */
export class ServerState {
	coldUntil: Milliseconds;
	readonly running = new Set<Running>();
	/** Whether it has had work of this host or, as far as heard, of others. */
	isUsed = false;
	isEvacuated = false;
	/** Until when its missing entry may come back; undefined: it is listed. */
	missingUntil: Milliseconds | undefined;
	/** Requests of other hosts that run there, as they last said. */
	othersInFlight = 0;
	/** When work of other hosts on objects that are new there should end. */
	readonly #othersFirst = new Map<number, Milliseconds>();
	/** Work of this server against that of others: above 1 it is slower. */
	#slowness = 1;
	#isGone = false;
	#failures = 0;
	#ejections = 0;
	#ejectedUntil: Milliseconds = 0;
	#reportedOthers = 0;
	#reportedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** Hashes of the objects that it handled last, the latest at the end. */
	readonly #objects = new Set<number>();

	readonly #known: KnownObjects;
	readonly #memory: ObjectMemory;

	constructor(
		public server: BackendServer,
		now: Milliseconds,
		known: KnownObjects,
		memory: ObjectMemory,
	) {
		this.#known = known;
		this.#memory = memory;
		this.coldUntil = now + server.coldRemainingMs;
	}

	/** Whether the server may be chosen at all. */
	isUsable(now: Milliseconds): boolean {
		return (
			!this.#isGone &&
			!this.server.isDraining &&
			!this.isEvacuated &&
			!this.isEjected(now)
		);
	}

	/** After its pause, an ejected server gets one request at a time. */
	isEjected(now: Milliseconds): boolean {
		return (
			this.#failures >= failuresToEject &&
			(now < this.#ejectedUntil || this.running.size > 0)
		);
	}

	/** Whether it has failed since it last answered. */
	get isSuspect(): boolean {
		return this.#failures > 0;
	}

	isCold(now: Milliseconds): boolean {
		return now < this.coldUntil;
	}

	/** Requests of all hosts that run or wait there. */
	computeLoad(now: Milliseconds): number {
		const fade = Math.max(0, 1 - (now - this.#reportedAt) / reportLifetime);
		return (
			this.running.size +
			Math.max(this.othersInFlight, this.#reportedOthers * fade)
		);
	}

	/** Answers that are overdue count before they come. */
	computeSlowness(now: Milliseconds): number {
		let slowness = this.#slowness;
		for (const {sentAt, expected} of this.running) {
			slowness = Math.max(slowness, (now - sentAt) / expected);
		}

		return Math.min(slowest, slowness);
	}

	/** Whether the object should still be at hand. */
	hasAtHand(object: number): boolean {
		const position = this.findPosition(object);
		return position !== undefined && position < this.#memory.kept;
	}

	/** How many objects it handled after this one; undefined: not this one, or long ago. */
	findPosition(object: number): number | undefined {
		if (!this.#objects.has(object)) {
			return undefined;
		}

		let before = 0;
		for (const other of this.#objects) {
			if (other === object) {
				break;
			}

			before += 1;
		}

		return this.#objects.size - 1 - before;
	}

	/**
	 * How long until it will know an object on which it works for the first
	 * time; undefined when it does not.
	 */
	findFirstWork(object: number, now: Milliseconds): Milliseconds | undefined {
		let end = this.#othersFirst.get(object);
		if (end !== undefined && end < now) {
			this.#othersFirst.delete(object);
			end = undefined;
		}

		for (const {objectHash, sentAt, expected} of this.running) {
			if (objectHash === object) {
				end = Math.min(end ?? Number.POSITIVE_INFINITY, sentAt + expected);
			}
		}

		return end === undefined ? undefined : Math.max(0, end - now);
	}

	/** Another host has it work on an object that is new there. */
	onOthersFirst(object: number, end: Milliseconds): void {
		this.#othersFirst.set(object, end);
	}

	onSent(running: Running): void {
		this.running.add(running);
		this.isUsed = true;
	}

	/** `usual`: the time that such an answer usually takes. */
	onAnswered(
		running: Running,
		object: number,
		usual: Milliseconds,
		now: Milliseconds,
	): void {
		this.running.delete(running);
		this.#failures = 0;
		this.#ejections = 0;
		const ratio = (now - running.sentAt) / usual;
		const bounded = Math.min(slowest, Math.max(fastest, ratio));
		this.#slowness += slownessGain * (bounded - this.#slowness);
		this.onHandled(object);
	}

	/** The server rejected it or gave nothing; the work was not measured. */
	onFailed(running: Running, now: Milliseconds): boolean {
		this.running.delete(running);
		this.#failures += 1;
		if (this.#failures < failuresToEject) {
			return false;
		}

		const pause = shortestEjection * 2 ** this.#ejections;
		this.#ejections += 1;
		this.#ejectedUntil = now + Math.min(longestEjection, pause);
		return true;
	}

	/** The attempt ended without saying anything of the server. */
	onAbandoned(running: Running): void {
		this.running.delete(running);
	}

	onReported(load: ReportedLoad, now: Milliseconds): void {
		const others = load.running + load.waiting - this.running.size;
		this.#reportedOthers = Math.max(0, others);
		this.#reportedAt = now;
	}

	/** It has handled a request for the object, of this host or another. */
	onHandled(object: number): void {
		if (this.#isGone) {
			return;
		}

		this.#objects.delete(object);
		this.#objects.add(object);
		this.#known.add(object, this);
		if (this.#objects.size > rememberedObjects) {
			const [oldest] = this.#objects;
			this.#objects.delete(oldest!);
			this.#known.remove(oldest!, this);
		}
	}

	/** The server has left; requests that run there may still be answered. */
	onLeft(): void {
		this.#isGone = true;
		for (const object of this.#objects) {
			this.#known.remove(object, this);
		}

		this.#objects.clear();
	}
}
