import {
	toCustomerBudgetId,
	type AttemptEnded,
	type AttemptOutcome,
	type CancelAttempt,
	type Effect,
	type Forward,
	type KernelEvent,
	type ReadObject,
	type RequestArrived,
	type SendPeer,
	type WriteObject,
} from '@parsleyvale/kernel';
import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import type {RequestsOptions} from '../src/index.js';
import {FakeConfiguration, versioned} from './fake-services.js';
import {FakeStore, type StoreOutcome} from './fake-store.js';
import {Oracle} from './oracle.js';
import {createFakeHost, type FakeHost} from './fake-host.js';

export type FleetOptions = {
	readonly hosts: number;
	/** Concurrent requests that the pool accepts from each host. */
	readonly slots?: number;
	readonly safeguards?: RequestsOptions['safeguards'];
};

type Host = FakeHost & {
	/** Events that arrived while the host was frozen. */
	readonly inbox: KernelEvent[];
	isFrozen: boolean;
	/** Tokens spent on attempts that may have run, as known to this host. */
	spent: number;
};

/** Attempt in flight to a backend server or running there. */
type Attempt = {
	readonly host: Host;
	readonly forward: Forward;
	isSpent: boolean;
};

type Message = {
	readonly from: EntryHost;
	readonly effect: SendPeer;
};

type StoreCall = {
	readonly host: Host;
	readonly call: ReadObject | WriteObject;
};

/** Simulates several entry hosts with their store, network and servers. */
export class Fleet {
	readonly configuration = new FakeConfiguration();
	readonly oracle = new Oracle();
	readonly store = new FakeStore();
	readonly hosts: Host[] = [];
	readonly calls: StoreCall[] = [];
	readonly messages: Message[] = [];
	readonly attempts: Attempt[] = [];
	/** Attempts whose end was reported while the server may still run them. */
	readonly orphanedAttempts: Attempt[] = [];
	readonly deliveredEnds: Array<{host: Host; event: AttemptEnded}> = [];
	now: Milliseconds = 0;
	isStoreDown = false;
	#requestCount = 0;
	#incarnationCount = 0;
	readonly #forwarded: Attempt[] = [];
	readonly #options: FleetOptions;

	constructor(options: FleetOptions) {
		this.#options = options;
		for (let index = 0; index < options.hosts; index++) {
			this.#startHost(index);
		}
	}

	get identities(): EntryHost[] {
		return this.hosts.map((host) => host.identity);
	}

	/** Delivers an event to a host, or buffers it while the host is frozen. */
	deliver(host: Host, event: KernelEvent): void {
		if (!this.hosts.includes(host)) {
			return;
		}

		if (host.isFrozen) {
			host.inbox.push(event);
			return;
		}

		for (const effect of host.kernel.handle(event, this.now)) {
			this.#apply(host, effect);
		}
	}

	/** Sends a request to a host and returns its id. */
	send(
		hostIndex: number,
		request: Pick<RequestArrived, 'path' | 'keyHash'> & Partial<RequestArrived>,
	): string {
		const host = this.hosts[hostIndex % this.hosts.length]!;
		this.#requestCount++;
		const requestId = `r${this.#requestCount}`;
		const arrival: RequestArrived = {
			type: 'request-arrived',
			requestId,
			method: request.path.startsWith('/entries') ? 'GET' : 'POST',
			callerAddress: '10.0.0.1',
			idempotencyKey: undefined,
			fingerprint: 'same',
			bodyBytes: undefined,
			deadline: undefined,
			...request,
		};
		this.oracle.addArrival(arrival, host.identity.incarnation);
		this.deliver(host, arrival);
		return requestId;
	}

	/** Answers one of the store operations in flight. */
	answerStore(index: number, outcome: StoreOutcome): void {
		const [next] = this.calls.splice(index % this.calls.length, 1);
		if (next !== undefined) {
			const isAnswered = outcome === 'done' || outcome === 'stale';
			const outcomeWhenDown = isAnswered ? 'failed' : outcome;
			const event = this.store.handle(
				next.call,
				this.isStoreDown ? outcomeWhenDown : outcome,
			);
			this.deliver(next.host, event);
		}
	}

	/** Delivers one of the messages between hosts once or twice, or drops it. */
	deliverPeer(index: number, times: 0 | 1 | 2): void {
		const [next] = this.messages.splice(index % this.messages.length, 1);
		for (let delivery = 0; delivery < times; delivery++) {
			this.#deliverMessage(next);
		}
	}

	/** Ends an attempt, executed or not, and reports the outcome to its host. */
	endAttempt(
		index: number,
		outcome: AttemptOutcome,
		{isExecuted, repeatable}: {isExecuted: boolean; repeatable: boolean},
	): void {
		const [attempt] = this.attempts.splice(index % this.attempts.length, 1);
		if (attempt === undefined) {
			return;
		}

		if (outcome === 'answered' || (isExecuted && isRunning(outcome))) {
			this.#execute(attempt);
		} else if (isRunning(outcome)) {
			this.orphanedAttempts.push(attempt);
		}

		const event: AttemptEnded = {
			type: 'attempt-ended',
			requestId: attempt.forward.requestId,
			attempt: attempt.forward.attempt,
			outcome,
			status: outcome === 'answered' ? 200 : undefined,
			latency: undefined,
			bytes: 0,
			repeatable,
			reportedLoad: undefined,
		};
		if (isRunning(outcome)) {
			this.#countSpent(attempt);
		}

		this.deliveredEnds.push({host: attempt.host, event});
		this.deliver(attempt.host, event);
	}

	/** Delivers the end of an attempt again. */
	redeliverEnd(index: number): void {
		const delivered = this.deliveredEnds[index % this.deliveredEnds.length];
		if (delivered !== undefined) {
			this.deliver(delivered.host, delivered.event);
		}
	}

	/** Executes an attempt after its entry host has given it up. */
	runOrphanedAttempt(index: number): void {
		const [orphan] = this.orphanedAttempts.splice(
			index % this.orphanedAttempts.length,
			1,
		);
		if (orphan !== undefined) {
			this.#execute(orphan);
		}
	}

	/** Kills a host, which loses its memory, and starts another under its name. */
	replaceHost(index: number): void {
		const position = index % this.hosts.length;
		const [killed] = this.hosts.splice(position, 1);
		for (const attempt of this.attempts.filter(({host}) => host === killed)) {
			this.attempts.splice(this.attempts.indexOf(attempt), 1);
			this.orphanedAttempts.push(attempt);
		}

		this.#startHost(position);
	}

	setFrozen(index: number, isFrozen: boolean): void {
		const host = this.hosts[index % this.hosts.length]!;
		host.isFrozen = isFrozen;
		if (!isFrozen) {
			for (const event of host.inbox.splice(0)) {
				this.deliver(host, event);
			}
		}
	}

	/** Cancels a request, as when its caller disconnects. */
	cancelRequest(index: number): void {
		const openRequests = [...this.oracle.requests].filter(
			(request) => request.ends === 0,
		);
		const request = openRequests[index % openRequests.length];
		const host = this.hosts.find(
			({identity}) => identity.incarnation === request?.host,
		);
		if (request !== undefined && host !== undefined) {
			const {requestId} = request.arrival;
			this.deliver(host, {type: 'request-cancelled', requestId});
		}
	}

	setWithdrawn(keyHash: string, isWithdrawn: boolean): void {
		if (isWithdrawn) {
			this.configuration.withdrawn.add(keyHash);
		} else {
			this.configuration.withdrawn.delete(keyHash);
		}
	}

	lend(index: number, customer: string): void {
		const host = this.hosts[index % this.hosts.length]!;
		const budgetId = toCustomerBudgetId(customer);
		const available = host.budgets.getAvailable(budgetId);
		host.budgets.tokens.set(budgetId, available + 2);
		this.deliver(host, {type: 'budget-changed', budgetId});
	}

	advance(span: Milliseconds): void {
		this.now += span;
		for (const host of this.hosts) {
			if (!host.isFrozen) {
				this.deliver(host, {type: 'tick'});
			}
		}
	}

	/** Ends all faults and runs until nothing is in flight. */
	settle(): void {
		this.isStoreDown = false;
		this.store.applyDelayedWrites();
		for (const index of this.hosts.keys()) {
			this.setFrozen(index, false);
		}

		const rounds = 40;
		for (let round = 0; round < rounds; round++) {
			while (this.calls.length > 0) {
				this.answerStore(0, 'done');
			}

			while (this.messages.length > 0) {
				this.deliverPeer(0, 1);
			}

			while (this.attempts.length > 0) {
				const executedResult = {isExecuted: true, repeatable: false};
				this.endAttempt(0, 'answered', executedResult);
			}

			this.advance(500);
		}
	}

	/** Throws if a request has not ended or a host has not released everything. */
	checkSettled(): void {
		this.oracle.checkAllEnded(this.identities.map((self) => self.incarnation));
		for (const {identity, kernel, router, budgets, spent} of this.hosts) {
			const unreleased = {
				isBusy: kernel.isBusy(this.now),
				heldChoices: router.heldChoices.size,
				tokensBeyondSpent: budgets.netTaken - spent,
			};
			if (
				unreleased.isBusy ||
				unreleased.heldChoices > 0 ||
				unreleased.tokensBeyondSpent !== 0
			) {
				throw new Error(
					`${identity.name} did not settle: ${JSON.stringify(unreleased)}`,
				);
			}
		}
	}

	#deliverMessage(message: Message | undefined): void {
		const to = this.hosts.find(
			({identity}) => identity.name === message?.effect.to,
		);
		if (message !== undefined && to !== undefined) {
			const {topic, payload} = message.effect;
			const {name, incarnation} = message.from;
			const from = {name, incarnation};
			this.deliver(to, {type: 'peer-message', from, topic, payload});
		}
	}

	#startHost(position: number): void {
		this.#incarnationCount++;
		const created = createFakeHost(`host-${position}`, this.#incarnationCount, {
			...this.#options,
			configuration: this.configuration,
			listLive: () => this.identities,
		});
		created.kernel.on('request-ended', (event) => {
			this.oracle.addEnd(event.requestId, event.kind);
		});
		const host = {...created, inbox: [], isFrozen: false, spent: 0};
		this.hosts.splice(position, 0, host);
		this.deliver(host, {type: 'configuration-changed', current: versioned});
	}

	#apply(host: Host, effect: Effect): void {
		const {type} = effect;
		if (type === 'forward') {
			this.#onForward(host, effect);
		}

		if (type === 'cancel-attempt') {
			this.#onCancelled(effect);
		}

		if (type === 'send-peer') {
			this.messages.push({from: host.identity, effect});
		}

		if (type === 'read-object' || type === 'write-object') {
			this.calls.push({host, call: effect});
		}
	}

	#onForward(host: Host, forward: Forward): void {
		const {requestId, attempt, customer} = forward;
		const {withdrawn} = this.configuration;
		this.oracle.checkForward(requestId, customer, withdrawn);
		const newAttempt = {host, forward, isSpent: false};
		this.attempts.push(newAttempt);
		this.#forwarded.push(newAttempt);
		this.deliver(host, {type: 'attempt-started', requestId, attempt});
	}

	#onCancelled({requestId, attempt}: CancelAttempt): void {
		const cancelled = this.#forwarded.find(
			({forward}) =>
				forward.requestId === requestId && forward.attempt === attempt,
		);
		this.#countSpent(cancelled!);
	}

	#countSpent(attempt: Attempt): void {
		if (attempt.forward.customer !== undefined && !attempt.isSpent) {
			attempt.isSpent = true;
			attempt.host.spent++;
		}
	}

	#execute(attempt: Attempt): void {
		this.oracle.addExecution(attempt.forward.requestId);
	}
}

function isRunning(outcome: AttemptOutcome): boolean {
	return outcome !== 'not-sent' && outcome !== 'refused';
}
