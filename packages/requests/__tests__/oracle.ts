import type {RequestArrived} from '@parsleyvale/kernel';
import {errorResponses, type ErrorKind} from '@parsleyvale/shared';

type ObservedRequest = {
	readonly arrival: RequestArrived;
	readonly host: string;
	/** Undefined on public routes. */
	readonly customer: string | undefined;
	readonly isIdempotent: boolean;
	executions: number;
	ends: number;
	kind: ErrorKind | undefined;
};

function toClaimId(observed: ObservedRequest): string | undefined {
	const {idempotencyKey, callerAddress} = observed.arrival;
	if (observed.isIdempotent || idempotencyKey === undefined) {
		return undefined;
	}

	return JSON.stringify([
		observed.customer ?? `@${callerAddress}`,
		idempotencyKey,
	]);
}

/** Records what callers and servers observe, and checks the invariants. */
export class Oracle {
	readonly #requests = new Map<string, ObservedRequest>();
	readonly #executions = new Map<string, number>();

	get requests(): Iterable<ObservedRequest> {
		return this.#requests.values();
	}

	addArrival(arrival: RequestArrived, host: string): void {
		const isPublic = arrival.path.startsWith('/reports');
		this.#requests.set(arrival.requestId, {
			arrival,
			host,
			customer: isPublic ? undefined : arrival.keyHash?.split(':')[1],
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
		const observed = this.#requests.get(requestId)!;
		this.#check(
			customer === undefined || !withdrawn.has(observed.arrival.keyHash ?? ''),
			'is not sent under a withdrawn key',
			observed,
		);
		this.#check(
			observed.customer === customer,
			'runs only for its customer',
			observed,
		);
		this.#check(observed.ends === 0, 'is not sent after its end', observed);
	}

	addExecution(requestId: string): void {
		const observed = this.#requests.get(requestId)!;
		observed.executions++;
		this.#checkNotRun(observed);
		this.#check(
			observed.isIdempotent || observed.executions === 1,
			'runs at most once',
			observed,
		);
		const claim = toClaimId(observed);
		if (claim !== undefined) {
			const executions = (this.#executions.get(claim) ?? 0) + 1;
			this.#executions.set(claim, executions);
			this.#check(executions === 1, 'runs at most once for its key', observed);
		}
	}

	addEnd(requestId: string, kind: ErrorKind | undefined): void {
		const observed = this.#requests.get(requestId)!;
		observed.ends++;
		observed.kind = kind;
		this.#check(observed.ends === 1, 'ends once', observed);
		this.#checkNotRun(observed);
		this.#check(
			kind !== undefined || observed.executions > 0,
			'is answered only when it ran',
			observed,
		);
	}

	/** Checks that every request of a live host has ended. */
	checkAllEnded(hosts: readonly string[]): void {
		for (const observed of this.#requests.values()) {
			this.#check(
				observed.ends === 1 || !hosts.includes(observed.host),
				'ends',
				observed,
			);
		}
	}

	#checkNotRun(observed: ObservedRequest): void {
		const isNotRun =
			observed.kind !== undefined && errorResponses[observed.kind].notRun;
		this.#check(
			!isNotRun || observed.executions === 0,
			'did not run when refused as not run',
			observed,
		);
	}

	#check(
		isSatisfied: boolean,
		invariant: string,
		observed: ObservedRequest,
	): void {
		if (!isSatisfied) {
			throw new Error(
				`Broken invariant: a request ${invariant}: ${JSON.stringify(observed)}`,
			);
		}
	}
}
