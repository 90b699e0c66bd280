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
import {FakeStore, type StoreFate} from './fake-store.js';
import {Oracle} from './oracle.js';
import {createFakeHost, type FakeHost} from './fake-host.js';

export type FleetOptions = {
	readonly hosts: number;
	/** Requests that the pool takes at once from each host. */
	readonly slots?: number;
	readonly safeguards?: RequestsOptions['safeguards'];
};

type Host = FakeHost & {
	/** Events that reach the host only when it is thawed. */
	readonly inbox: KernelEvent[];
	isFrozen: boolean;
	/** Attempts of customers that may have run, as far as this host knows. */
	spent: number;
};

/** One attempt on its way to a backend server, or at work there. */
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

/** Kernels of several entry hosts with what is around them, under one hand. */
export class Fleet {
	readonly configuration = new FakeConfiguration();
	readonly oracle = new Oracle();
	readonly store = new FakeStore();
	readonly hosts: Host[] = [];
	readonly calls: StoreCall[] = [];
	readonly messages: Message[] = [];
	readonly attempts: Attempt[] = [];
	/** Attempts whose end was told though the server may still run them. */
	readonly ghosts: Attempt[] = [];
	readonly delivered: Array<{host: Host; event: AttemptEnded}> = [];
	now: Milliseconds = 0;
	isStoreDown = false;
	#requests = 0;
	#incarnations = 0;
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

	/** Gives a host an event, or keeps it until the host is thawed. */
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

	send(
		hostIndex: number,
		request: Pick<RequestArrived, 'path' | 'keyHash'> & Partial<RequestArrived>,
	): string {
		const host = this.hosts[hostIndex % this.hosts.length]!;
		this.#requests++;
		const requestId = `r${this.#requests}`;
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

	/** Decides one call to the store, whichever of those on their way. */
	answerStore(index: number, fate: StoreFate): void {
		const [next] = this.calls.splice(index % this.calls.length, 1);
		if (next !== undefined) {
			const isAnswered = fate === 'done' || fate === 'stale';
			const downFate = isAnswered ? 'failed' : fate;
			const event = this.store.handle(
				next.call,
				this.isStoreDown ? downFate : fate,
			);
			this.deliver(next.host, event);
		}
	}

	/** Delivers one message between hosts, once or twice, or loses it. */
	deliverPeer(index: number, times: 0 | 1 | 2): void {
		const [next] = this.messages.splice(index % this.messages.length, 1);
		for (let time = 0; time < times; time++) {
			this.#deliverMessage(next);
		}
	}

	/** Runs an attempt or not, and tells its host how it ended. */
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
			this.ghosts.push(attempt);
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

		this.delivered.push({host: attempt.host, event});
		this.deliver(attempt.host, event);
	}

	/** Tells a host of an attempt once more. */
	repeatEnd(index: number): void {
		const earlier = this.delivered[index % this.delivered.length];
		if (earlier !== undefined) {
			this.deliver(earlier.host, earlier.event);
		}
	}

	/** A server runs what its entry host has given up. */
	runGhost(index: number): void {
		const [ghost] = this.ghosts.splice(index % this.ghosts.length, 1);
		if (ghost !== undefined) {
			this.#execute(ghost);
		}
	}

	/** A host dies with its memory; another starts under its name. */
	replaceHost(index: number): void {
		const at = index % this.hosts.length;
		const [dead] = this.hosts.splice(at, 1);
		for (const attempt of this.attempts.filter(({host}) => host === dead)) {
			this.attempts.splice(this.attempts.indexOf(attempt), 1);
			this.ghosts.push(attempt);
		}

		this.#startHost(at);
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

	/** A caller goes away. */
	cancelRequest(index: number): void {
		const running = [...this.oracle.requests].filter((seen) => seen.ends === 0);
		const seen = running[index % running.length];
		const host = this.hosts.find(
			({identity}) => identity.incarnation === seen?.host,
		);
		if (seen !== undefined && host !== undefined) {
			const {requestId} = seen.arrival;
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

	/** Heals all faults and lets everything come to its end. */
	settle(): void {
		this.isStoreDown = false;
		this.store.applyLate();
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
				const end = {isExecuted: true, repeatable: false};
				this.endAttempt(0, 'answered', end);
			}

			this.advance(500);
		}
	}

	/** What must hold when everything has come to its end. */
	checkSettled(): void {
		this.oracle.checkAllEnded(this.identities.map((self) => self.incarnation));
		for (const {identity, kernel, router, budgets, spent} of this.hosts) {
			const left = {
				isBusy: kernel.isBusy(this.now),
				places: router.held.size,
				tokensBeyondSpent: budgets.net - spent,
			};
			if (left.isBusy || left.places > 0 || left.tokensBeyondSpent !== 0) {
				throw new Error(`${identity.name} holds ${JSON.stringify(left)}`);
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

	#startHost(at: number): void {
		this.#incarnations++;
		const created = createFakeHost(`host-${at}`, this.#incarnations, {
			...this.#options,
			configuration: this.configuration,
			listLive: () => this.identities,
		});
		created.kernel.on('request-ended', (event) => {
			this.oracle.addEnd(event.requestId, event.kind);
		});
		const host = {...created, inbox: [], isFrozen: false, spent: 0};
		this.hosts.splice(at, 0, host);
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
		const attempted = {host, forward, isSpent: false};
		this.attempts.push(attempted);
		this.#forwarded.push(attempted);
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
