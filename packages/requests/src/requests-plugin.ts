import {
	Plugin,
	budgetsKey,
	claimsKey,
	configurationKey,
	routerKey,
	type Kernel,
} from '@parsleyvale/kernel';
import {RequestLife} from './request-life.js';
import {allSafeguards, type Safeguards} from './safeguards.js';

export type RequestsOptions = {
	/**
	 * Protections to leave out, for tests that must fail without them.
	 *
	 * @internal
	 */
	readonly safeguards?: Partial<Safeguards>;
};

class RequestsPlugin extends Plugin {
	readonly #safeguards: Safeguards;
	#life: RequestLife | undefined;

	constructor(options: RequestsOptions) {
		super();
		this.#safeguards = {...allSafeguards, ...options.safeguards};
	}

	get name(): string {
		return 'requests';
	}

	override isBusy(): boolean {
		return this.#life?.isBusy ?? false;
	}

	install(kernel: Kernel): void {
		const life = new RequestLife({
			configuration: kernel.inject(configurationKey),
			budgets: kernel.inject(budgetsKey),
			router: kernel.inject(routerKey),
			claims: kernel.inject(claimsKey),
			safeguards: this.#safeguards,
		});
		this.#life = life;
		kernel.on('configuration-changed', (event) => {
			life.onConfigurationChanged(event.current.configuration);
		});
		kernel.on('request-arrived', (event, context) => {
			life.onArrived(event, context);
		});
		kernel.on('attempt-started', (event, context) => {
			life.onAttemptStarted(event, context);
		});
		kernel.on('attempt-ended', (event, context) => {
			life.onAttemptEnded(event, context);
		});
		kernel.on('request-cancelled', (event, context) => {
			life.onCancelled(event, context);
		});
		kernel.on('budget-changed', (event, context) => {
			life.onBudgetChanged(event.budgetId, context);
		});
		kernel.on('room-changed', (event, context) => {
			life.onRoomChanged(event.pool, context);
		});
		kernel.on('tick', (_event, context) => {
			life.onTick(context);
		});
		kernel.on('intake-closed', () => {
			life.onIntakeClosed();
		});
	}
}

/**
 * The life of a request on one entry host, from arrival to its one end. Needs
 * configuration, budgets, router and claims installed before.
 *
 * @example
 * kernel.use(createClaims()).use(createRequests());
 */
export function createRequests(options: RequestsOptions = {}): Plugin {
	return new RequestsPlugin(options);
}
