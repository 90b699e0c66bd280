import {
	toCustomerBudgetId,
	type Budgets,
	type Context,
} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {
	maximumShareWaiters,
	shareTimeout,
	loanRequestInterval,
} from './limits.js';
import type {CustomerTable} from './customer-table.js';
import type {LiveRequest} from './live-request.js';

/** Called when a step is done. Without a refusal the request may proceed. */
export type StepListener = (
	request: LiveRequest,
	refusal: ErrorKind | undefined,
	context: Context,
) => void;

/**
 * Takes tokens of the customers' rates. When this host's share is used up,
 * requests wait for a short time for loans from other hosts.
 */
export class RateAdmission {
	/** Requests that wait for a share, by customer in order of arrival. */
	readonly #waiting = new Map<string, LiveRequest[]>();
	readonly #budgets: Budgets;
	readonly #customers: CustomerTable;
	readonly #onDecided: StepListener;
	#loanRequestedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(
		budgets: Budgets,
		customers: CustomerTable,
		onDecided: StepListener,
	) {
		this.#budgets = budgets;
		this.#customers = customers;
		this.#onDecided = onDecided;
	}

	/** Takes a token for the next attempt, or queues the request for a share. */
	admit(request: LiveRequest, context: Context): void {
		request.stage = 'rate';
		const {customer} = request;
		if (customer === undefined || request.hasToken) {
			this.#onDecided(request, undefined, context);
			return;
		}

		const waiting = this.#waiting.get(customer) ?? [];
		const refusal =
			waiting.length === 0
				? this.#takeToken(request, customer, context)
				: ErrorKind.ShareUnavailable;
		if (refusal !== ErrorKind.ShareUnavailable) {
			this.#onDecided(request, refusal, context);
			return;
		}

		this.#enqueue(request, customer, waiting, context);
	}

	/**
	 * Replaces the token of a request that waited: the rate applies to the time of
	 * forwarding, and a bucket that refilled in the meantime would admit a second
	 * burst (issue 6). Returns false if no token is available and the request waits
	 * for one.
	 */
	renewToken(request: LiveRequest, context: Context): boolean {
		const {customer} = request;
		if (customer === undefined || request.tokenTakenAt === context.now) {
			return true;
		}

		this.returnToken(request, context);
		if (this.#takeToken(request, customer, context) === undefined) {
			return true;
		}

		this.admit(request, context);
		return false;
	}

	/** Returns an unspent token to the budget. */
	returnToken(request: LiveRequest, context: Context): void {
		if (request.hasToken && request.customer !== undefined) {
			request.hasToken = false;
			const budgetId = toCustomerBudgetId(request.customer);
			this.#budgets.release(budgetId, 1, context.now, request.tokenTakenAt);
		}
	}

	/** Admits waiting requests while the share of the budget has tokens. */
	retryWaiting(budgetId: string, context: Context): void {
		for (const [customer, waiting] of this.#waiting) {
			if (toCustomerBudgetId(customer) === budgetId) {
				this.#retryCustomer(customer, waiting, context);
			}
		}
	}

	/** Refuses requests that waited for a share longer than the timeout. */
	refuseExpired(context: Context): void {
		for (const [customer, waiting] of this.#waiting) {
			this.#retryCustomer(customer, waiting, context);
			while (
				waiting[0] !== undefined &&
				waiting[0].shareDeadline <= context.now
			) {
				const request = waiting.shift()!;
				this.#onDecided(
					request,
					this.#toRefusal(customer, context.now),
					context,
				);
			}

			if (waiting.length === 0) {
				this.#waiting.delete(customer);
			}
		}

		this.#repeatLoanRequests(context);
	}

	/** Removes a request that ended while it waited. */
	remove(request: LiveRequest): void {
		const waiting = this.#waiting.get(request.customer ?? '');
		const index = waiting?.indexOf(request) ?? -1;
		if (index !== -1) {
			waiting!.splice(index, 1);
		}
	}

	#enqueue(
		request: LiveRequest,
		customer: string,
		waiting: LiveRequest[],
		context: Context,
	): void {
		if (waiting.length >= maximumShareWaiters) {
			this.#onDecided(request, this.#toRefusal(customer, context.now), context);
			return;
		}

		request.shareDeadline = context.now + shareTimeout;
		waiting.push(request);
		this.#waiting.set(customer, waiting);
		const budgetId = toCustomerBudgetId(customer);
		// Loan requests add up: each waiting request needs one token.
		this.#budgets.requestLoan(budgetId, 1, context);
	}

	/** Requests the loans again, because messages to other hosts can get lost. */
	#repeatLoanRequests(context: Context): void {
		if (context.now - this.#loanRequestedAt < loanRequestInterval) {
			return;
		}

		this.#loanRequestedAt = context.now;
		for (const [customer, waiting] of this.#waiting) {
			const budgetId = toCustomerBudgetId(customer);
			this.#budgets.requestLoan(budgetId, waiting.length, context);
		}
	}

	#retryCustomer(
		customer: string,
		waiting: LiveRequest[],
		context: Context,
	): void {
		while (waiting[0] !== undefined) {
			const refusal = this.#takeToken(waiting[0], customer, context);
			if (refusal === ErrorKind.ShareUnavailable) {
				return;
			}

			this.#onDecided(waiting.shift()!, refusal, context);
		}
	}

	#takeToken(
		request: LiveRequest,
		customer: string,
		context: Context,
	): ErrorKind | undefined {
		const budgetId = toCustomerBudgetId(customer);
		switch (this.#budgets.take(budgetId, 1, context.now)) {
			case 'taken': {
				request.hasToken = true;
				request.tokenTakenAt = context.now;
				this.#customers.countToken(customer, context.now);
				return undefined;
			}

			case 'share-used-up': {
				return ErrorKind.ShareUnavailable;
			}

			case 'too-large': {
				return ErrorKind.RateExceeded;
			}

			case 'unknown-budget': {
				return ErrorKind.NotConfigured;
			}
		}
	}

	/**
	 * The share of this host can be used up while the customer is below its rate;
	 * `rate-exceeded` is reported only if this host alone took the whole rate.
	 */
	#toRefusal(customer: string, now: Milliseconds): ErrorKind {
		return this.#customers.hasReachedRate(customer, now)
			? ErrorKind.RateExceeded
			: ErrorKind.ShareUnavailable;
	}
}
