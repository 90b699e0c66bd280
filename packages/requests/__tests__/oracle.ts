import type {RequestArrived} from '@parsleyvale/kernel';
import {errorAnswers, type ErrorKind} from '@parsleyvale/shared';

type Seen = {
	readonly arrival: RequestArrived;
	readonly host: string;
	/** Undefined on open routes. */
	readonly customer: string | undefined;
	readonly isIdempotent: boolean;
	executions: number;
	ends: number;
	kind: ErrorKind | undefined;
};

function toClaim(seen: Seen): string | undefined {
	const {idempotencyKey, callerAddress} = seen.arrival;
	if (seen.isIdempotent || idempotencyKey === undefined) {
		return undefined;
	}

	return JSON.stringify([seen.customer ?? `@${callerAddress}`, idempotencyKey]);
}

/** What callers and backend servers saw, and the promises about it. */
export class Oracle {
	readonly #requests = new Map<string, Seen>();
	readonly #executions = new Map<string, number>();

	get requests(): Iterable<Seen> {
		return this.#requests.values();
	}

	addArrival(arrival: RequestArrived, host: string): void {
		const isOpen = arrival.path.startsWith('/reports');
		this.#requests.set(arrival.requestId, {
			arrival,
			host,
			customer: isOpen ? undefined : arrival.keyHash?.split(':')[1],
			isIdempotent: arrival.path.startsWith('/entries'),
			executions: 0,
			ends: 0,
			kind: undefined,
		});
	}

	checkForward(
		requestId: string,
		customer: string | undefined,
		withdrawn: ReadonlySet<string>,
	): void {
		const seen = this.#requests.get(requestId)!;
		this.#check(
			customer === undefined || !withdrawn.has(seen.arrival.keyHash ?? ''),
			'is not sent under a withdrawn key',
			seen,
		);
		this.#check(seen.customer === customer, 'runs only for its customer', seen);
		this.#check(seen.ends === 0, 'is not sent after its end', seen);
	}

	addExecution(requestId: string): void {
		const seen = this.#requests.get(requestId)!;
		seen.executions++;
		this.#checkNotRun(seen);
		this.#check(
			seen.isIdempotent || seen.executions === 1,
			'runs at most once',
			seen,
		);
		const claim = toClaim(seen);
		if (claim !== undefined) {
			const executions = (this.#executions.get(claim) ?? 0) + 1;
			this.#executions.set(claim, executions);
			this.#check(executions === 1, 'runs at most once for its key', seen);
		}
	}

	addEnd(requestId: string, kind: ErrorKind | undefined): void {
		const seen = this.#requests.get(requestId)!;
		seen.ends++;
		seen.kind = kind;
		this.#check(seen.ends === 1, 'ends once', seen);
		this.#checkNotRun(seen);
		this.#check(
			kind !== undefined || seen.executions > 0,
			'is answered only when it ran',
			seen,
		);
	}

	/** Every request of a host that still lives has its end. */
	checkAllEnded(hosts: readonly string[]): void {
		for (const seen of this.#requests.values()) {
			this.#check(seen.ends === 1 || !hosts.includes(seen.host), 'ends', seen);
		}
	}

	#checkNotRun(seen: Seen): void {
		const isNotRun = seen.kind !== undefined && errorAnswers[seen.kind].notRun;
		this.#check(
			!isNotRun || seen.executions === 0,
			'did not run when refused as not run',
			seen,
		);
	}

	#check(isTrue: boolean, promise: string, seen: Seen): void {
		if (!isTrue) {
			throw new Error(`Broken: a request ${promise}: ${JSON.stringify(seen)}`);
		}
	}
}
