import {
	Budgets,
	ConfigurationView,
	Membership,
	Plugin,
	Router,
	budgetsKey,
	configurationKey,
	membershipKey,
	routerKey,
	type Choice,
	type Context,
	type Kernel,
	type Member,
	type RoutingRequest,
	type TakeResult,
} from '@parsleyvale/kernel';
import {
	ErrorKind,
	configurationSchema,
	type EntryHost,
	type Milliseconds,
	type Server,
	type VersionedConfiguration,
} from '@parsleyvale/shared';
import {Result} from 'true-myth';

const server: Server = {
	name: 'reader-desk-1',
	region: 'tpe',
	failureDomain: 'tpe-a',
	address: '127.0.0.2',
	port: 80,
	slots: 3,
	connections: 360,
};

const routes = [
	{name: 'entries', pathPrefix: '/entries', methods: ['GET'], idempotent: true},
	{
		name: 'purchases',
		pathPrefix: '/purchases',
		methods: ['POST'],
		idempotent: false,
	},
	{
		name: 'reports',
		pathPrefix: '/reports',
		methods: ['POST'],
		idempotent: false,
		access: 'open',
	},
];

export const versioned: VersionedConfiguration = {
	version: 1,
	operationId: 'first',
	configuration: configurationSchema.parse({
		customers: [
			{name: 'lesson', ratePerSecond: 100, burst: 100, weight: 3},
			{name: 'school', ratePerSecond: 100, burst: 100, weight: 1},
		],
		routes: routes.map((route) => ({
			...route,
			pool: 'desk',
			deadlineMs: 2000,
		})),
	}),
};

/**
 * Configuration shared by all hosts of a test. The key `key:NAME` identifies the
 * customer NAME.
 */
export class FakeConfiguration extends ConfigurationView {
	readonly withdrawn = new Set<string>();
	current: VersionedConfiguration | undefined = versioned;

	identify(keyHash: string): Result<string, ErrorKind> {
		if (this.withdrawn.has(keyHash)) {
			return Result.err(ErrorKind.KeyWithdrawn);
		}

		const customer = keyHash.split(':')[1];
		return customer === undefined
			? Result.err(ErrorKind.KeyUnknown)
			: Result.ok(customer);
	}
}

/** Counts tokens; a negative count would mean that one was taken although none was left. */
export class FakeBudgets extends Budgets {
	readonly tokens = new Map<string, number>();
	/** When the buckets were last full. */
	lastFullAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** Total of the loans requested from each budget; tests decide when to lend. */
	readonly requestedLoans = new Map<string, number>();
	netTaken = 0;

	define(): void {
		// Tests set the tokens directly.
	}

	remove(): void {
		// Tests set the tokens directly.
	}

	take(budgetId: string): TakeResult {
		const available = this.getAvailable(budgetId);
		if (available < 1) {
			return 'share-used-up';
		}

		this.tokens.set(budgetId, available - 1);
		this.netTaken++;
		return 'taken';
	}

	release(
		budgetId: string,
		_amount: number,
		_now: Milliseconds,
		takenAt: Milliseconds,
	): void {
		this.netTaken--;
		if (takenAt > this.lastFullAt) {
			this.tokens.set(budgetId, this.getAvailable(budgetId) + 1);
		}
	}

	requestLoan(budgetId: string, amount: number): void {
		this.requestedLoans.set(
			budgetId,
			(this.requestedLoans.get(budgetId) ?? 0) + amount,
		);
	}

	getAvailable(budgetId: string): number {
		return this.tokens.get(budgetId) ?? 3;
	}
}

/** Router with one server and a fixed number of slots. */
export class FakeRouter extends Router {
	readonly heldChoices = new Set<Choice>();
	slots: number;
	hasServer = true;
	maximumBodyBytes = Number.POSITIVE_INFINITY;

	constructor(slots = 2) {
		super();
		this.slots = slots;
	}

	chooseServer(request: RoutingRequest): Result<Choice, ErrorKind> {
		if (!this.hasServer) {
			return Result.err(ErrorKind.NoServer);
		}

		const isTooLarge = (request.bodyBytes ?? 0) > this.maximumBodyBytes;
		if (this.heldChoices.size >= this.slots || isTooLarge) {
			return Result.err(ErrorKind.NoRoom);
		}

		const budgetId = `room/${request.route.pool}/tpe`;
		const choice: Choice = {server, heldAmounts: [{budgetId, amount: 1}]};
		this.heldChoices.add(choice);
		return Result.ok(choice);
	}

	startAttempt(choice: Choice): void {
		if (!this.heldChoices.has(choice)) {
			throw new Error('attempt started without a held choice');
		}
	}

	endAttempt(choice: Choice, _result: unknown, context: Context): void {
		if (!this.heldChoices.delete(choice)) {
			throw new Error('choice released twice');
		}

		context.raise({type: 'room-changed', pool: 'desk'});
	}

	takeRetry(): boolean {
		return true;
	}
}

export class FakeMembership extends Membership {
	readonly #hosts: () => readonly EntryHost[];

	constructor(hosts: () => readonly EntryHost[]) {
		super();
		this.#hosts = hosts;
	}

	listLive(): readonly Member[] {
		return this.#hosts().map((host) => ({...host, lastHeardAt: 0}));
	}

	listKnown(): readonly Member[] {
		return this.listLive();
	}
}

type Fakes = {
	readonly configuration: FakeConfiguration;
	readonly budgets: FakeBudgets;
	readonly router: FakeRouter;
	readonly membership: FakeMembership;
};

class FakeServices extends Plugin {
	readonly #fakes: Fakes;

	constructor(fakes: Fakes) {
		super();
		this.#fakes = fakes;
	}

	get name(): string {
		return 'fakes';
	}

	install(kernel: Kernel): void {
		kernel.provide(configurationKey, this.#fakes.configuration);
		kernel.provide(budgetsKey, this.#fakes.budgets);
		kernel.provide(routerKey, this.#fakes.router);
		kernel.provide(membershipKey, this.#fakes.membership);
	}
}

export function createFakeServices(fakes: Fakes): Plugin {
	return new FakeServices(fakes);
}
