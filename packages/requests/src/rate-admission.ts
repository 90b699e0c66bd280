import {
	toCustomerBudgetId,
	type Budgets,
	type Context,
} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {maximumShareWaiters, shareWait, shareWantInterval} from './limits.js';
import type {CustomerTable} from './customer-table.js';
import type {LiveRequest} from './live-request.js';

/** Goes on with a request; a kind says that it may not be sent. */
export type RequestListener = (
	request: LiveRequest,
	refusal: ErrorKind | undefined,
	context: Context,
) => void;

/** Takes the tokens of the customers' rates, waiting shortly for lent shares. */
export class RateAdmission {
	/** Requests that wait for a share, by customer, first come first served. */
	readonly #waiting = new Map<string, LiveRequest[]>();
	readonly #budgets: Budgets;
	readonly #customers: CustomerTable;
	readonly #onAdmitted: RequestListener;
	#wantedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(
		budgets: Budgets,
		customers: CustomerTable,
		onAdmitted: RequestListener,
	) {
		this.#budgets = budgets;
		this.#customers = customers;
		this.#onAdmitted = onAdmitted;
	}

	/** Takes a token for the next attempt, now or a few milliseconds later. */
	take(request: LiveRequest, context: Context): void {
		request.stage = 'rate';
		const {customer} = request;
		if (customer === undefined || request.hasToken) {
			this.#onAdmitted(request, undefined, context);
			return;
		}

		const waiting = this.#waiting.get(customer) ?? [];
		const refusal =
			waiting.length === 0
				? this.#takeToken(request, customer, context)
				: ErrorKind.ShareUnavailable;
		if (refusal !== ErrorKind.ShareUnavailable) {
			this.#onAdmitted(request, refusal, context);
			return;
		}

		this.#wait(request, customer, waiting, context);
	}

	/**
	 * Takes the token of a request that waited anew, since the rate counts when
	 * a request is sent (issue 6): a bucket that filled up meanwhile would let
	 * a second burst through. False: there is none, and it waits for one.
	 */
	renew(request: LiveRequest, context: Context): boolean {
		const {customer} = request;
		if (customer === undefined || request.tokenAt === context.now) {
			return true;
		}

		this.giveBack(request, context);
		if (this.#takeToken(request, customer, context) === undefined) {
			return true;
		}

		this.take(request, context);
		return false;
	}

	/** Gives a token back that was not spent. */
	giveBack(request: LiveRequest, context: Context): void {
		if (request.hasToken && request.customer !== undefined) {
			request.hasToken = false;
			const budgetId = toCustomerBudgetId(request.customer);
			this.#budgets.giveBack(budgetId, 1, context.now, request.tokenAt);
		}
	}

	/** Serves the customer's waiting requests while its share lasts. */
	retry(budgetId: string, context: Context): void {
		for (const [customer, waiting] of this.#waiting) {
			if (toCustomerBudgetId(customer) === budgetId) {
				this.#retryCustomer(customer, waiting, context);
			}
		}
	}

	/** Refuses the requests that have waited long enough. */
	refuseLate(context: Context): void {
		for (const [customer, waiting] of this.#waiting) {
			this.#retryCustomer(customer, waiting, context);
			while (
				waiting[0] !== undefined &&
				waiting[0].shareDeadline <= context.now
			) {
				const request = waiting.shift()!;
				this.#onAdmitted(request, this.#toKind(customer, context.now), context);
			}

			if (waiting.length === 0) {
				this.#waiting.delete(customer);
			}
		}

		this.#wantAgain(context);
	}

	/** Forgets a request that ended while it waited. */
	remove(request: LiveRequest): void {
		const waiting = this.#waiting.get(request.customer ?? '');
		const index = waiting?.indexOf(request) ?? -1;
		if (index !== -1) {
			waiting!.splice(index, 1);
		}
	}

	#wait(
		request: LiveRequest,
		customer: string,
		waiting: LiveRequest[],
		context: Context,
	): void {
		if (waiting.length >= maximumShareWaiters) {
			this.#onAdmitted(request, this.#toKind(customer, context.now), context);
			return;
		}

		request.shareDeadline = context.now + shareWait;
		waiting.push(request);
		this.#waiting.set(customer, waiting);
		const budgetId = toCustomerBudgetId(customer);
		// Wants add up at the budgets: each request asks for its own token.
		this.#budgets.requestLoan(budgetId, 1, context);
	}

	/** What the other hosts were asked for may have been lost on the way. */
	#wantAgain(context: Context): void {
		if (context.now - this.#wantedAt < shareWantInterval) {
			return;
		}

		this.#wantedAt = context.now;
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

			this.#onAdmitted(waiting.shift()!, refusal, context);
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
				request.tokenAt = context.now;
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

	/** A share that is used up says little; the rate itself only when reached. */
	#toKind(customer: string, now: Milliseconds): ErrorKind {
		return this.#customers.isOverRate(customer, now)
			? ErrorKind.RateExceeded
			: ErrorKind.ShareUnavailable;
	}
}
