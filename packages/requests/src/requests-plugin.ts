import {
	Plugin,
	budgetsKey,
	claimsKey,
	configurationKey,
	routerKey,
	type Kernel,
} from '@parsleyvale/kernel';
import {RequestLifecycle} from './request-lifecycle.js';
import {allSafeguards, type Safeguards} from './safeguards.js';

export type RequestsOptions = {
	/**
	 * Safeguards to disable, for tests that verify that each one is needed.
	 *
	 * @internal
	 */
	readonly safeguards?: Partial<Safeguards>;
};

class RequestsPlugin extends Plugin {
	readonly #safeguards: Safeguards;
	#lifecycle: RequestLifecycle | undefined;

	constructor(options: RequestsOptions) {
		super();
		this.#safeguards = {...allSafeguards, ...options.safeguards};
	}

	get name(): string {
		return 'requests';
	}

	override isBusy(): boolean {
		return this.#lifecycle?.isBusy ?? false;
	}

	install(kernel: Kernel): void {
		const lifecycle = new RequestLifecycle({
			configuration: kernel.inject(configurationKey),
			budgets: kernel.inject(budgetsKey),
			router: kernel.inject(routerKey),
			claims: kernel.inject(claimsKey),
			safeguards: this.#safeguards,
		});
		this.#lifecycle = lifecycle;
		kernel.on('configuration-changed', (event) => {
			lifecycle.onConfigurationChanged(event.current.configuration);
		});
		kernel.on('request-arrived', (event, context) => {
			lifecycle.onArrived(event, context);
		});
		kernel.on('attempt-started', (event, context) => {
			lifecycle.onAttemptStarted(event, context);
		});
		kernel.on('attempt-ended', (event, context) => {
			lifecycle.onAttemptEnded(event, context);
		});
		kernel.on('request-cancelled', (event, context) => {
			lifecycle.onCancelled(event, context);
		});
		kernel.on('budget-changed', (event, context) => {
			lifecycle.onBudgetChanged(event.budgetId, context);
		});
		kernel.on('room-changed', (event, context) => {
			lifecycle.onCapacityChanged(event.pool, context);
		});
		kernel.on('tick', (_event, context) => {
			lifecycle.onTick(context);
		});
		kernel.on('intake-closed', ({deadline}) => {
			lifecycle.onIntakeClosed(deadline);
		});
	}
}

/**
 * Handles requests on one entry host from arrival to end. Requires the
 * configuration, budgets, router and claims plug-ins to be installed first.
 *
 * @example
 * kernel.use(createClaims()).use(createRequests());
 */
export function createRequests(options: RequestsOptions = {}): Plugin {
	return new RequestsPlugin(options);
}
