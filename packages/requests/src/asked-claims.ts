import type {Claim, ClaimListener, Context} from '@parsleyvale/kernel';
import {
	ErrorKind,
	type EntryHostName,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';
import {
	questionTopic,
	type ClaimQuestion,
	type ClaimReply,
} from './claim-messages.js';
import {
	claimRetryInterval,
	claimTimeout,
	maximumUnsettledClaims,
} from './limits.js';

type AskedClaim = {
	readonly ownerName: EntryHostName;
	readonly askedAt: Milliseconds;
	/** What the owner has to be told next, until it replies. */
	question: ClaimQuestion;
	isPending: boolean;
	sentAt: Milliseconds;
	listener: ClaimListener | undefined;
};

/** The claims of this host's requests that other hosts remember. */
export class AskedClaims {
	readonly #claims = new Map<RequestId, AskedClaim>();

	get size(): number {
		return this.#claims.size;
	}

	/** Asks the owner for a claim; the listener hears once. */
	ask(
		question: Extract<ClaimQuestion, {kind: 'claim'}>,
		ownerName: EntryHostName,
		listener: ClaimListener,
		context: Context,
	): void {
		if (this.#claims.size >= maximumUnsettledClaims) {
			listener(ErrorKind.ClaimUnavailable, context);
			return;
		}

		const asked: AskedClaim = {
			ownerName,
			askedAt: context.now,
			question,
			isPending: true,
			sentAt: context.now,
			listener,
		};
		this.#claims.set(question.requestId, asked);
		this.#send(asked, context);
	}

	/** Tells the owner that the request did not run. */
	release(claim: Claim, context: Context): void {
		const asked = this.#claims.get(claim.requestId);
		if (asked !== undefined) {
			asked.listener = undefined;
			const {owner, name, requestId} = asked.question;
			this.#tell(asked, {kind: 'release', owner, name, requestId}, context);
		}
	}

	/** Tells the owner how the request ended. */
	complete(
		requestId: RequestId,
		ending: 'answered' | 'unknown',
		context: Context,
	): void {
		const asked = this.#claims.get(requestId);
		if (asked?.question.kind === 'claim') {
			const {owner, name} = asked.question;
			const question = {owner, name, requestId, ending};
			this.#tell(asked, {kind: 'complete', ...question}, context);
		}
	}

	onReply(reply: ClaimReply, from: EntryHostName, context: Context): void {
		const asked = this.#claims.get(reply.requestId);
		const isExpected =
			asked?.question.kind === reply.kind && asked.ownerName === from;
		if (!isExpected || !asked.isPending) {
			return;
		}

		asked.isPending = false;
		if (reply.kind !== 'claim') {
			this.#claims.delete(reply.requestId);
			return;
		}

		if (reply.refusal !== undefined) {
			this.#claims.delete(reply.requestId);
		}

		this.#answer(asked, reply.refusal, context);
	}

	/** Asks again, and gives up what has taken too long or lost its owner. */
	onTick(isLive: (owner: string) => boolean, context: Context): void {
		for (const [requestId, asked] of this.#claims) {
			if (!asked.isPending) {
				continue;
			}

			if (!isLive(asked.question.owner)) {
				this.#claims.delete(requestId);
				this.#answer(asked, ErrorKind.OutcomeUnknown, context);
			} else if (
				asked.listener !== undefined &&
				context.now - asked.askedAt >= claimTimeout
			) {
				this.#refuseLate(asked, context);
			} else if (context.now - asked.sentAt >= claimRetryInterval) {
				this.#send(asked, context);
			}
		}
	}

	#refuseLate(asked: AskedClaim, context: Context): void {
		const {owner, name, requestId} = asked.question;
		this.#tell(asked, {kind: 'release', owner, name, requestId}, context);
		this.#answer(asked, ErrorKind.ClaimUnavailable, context);
	}

	#answer(
		asked: AskedClaim,
		refusal: ErrorKind | undefined,
		context: Context,
	): void {
		const {listener} = asked;
		asked.listener = undefined;
		listener?.(refusal, context);
	}

	#tell(asked: AskedClaim, question: ClaimQuestion, context: Context): void {
		asked.question = question;
		asked.isPending = true;
		this.#send(asked, context);
	}

	#send(asked: AskedClaim, context: Context): void {
		asked.sentAt = context.now;
		context.emit({
			type: 'send-peer',
			to: asked.ownerName,
			topic: questionTopic,
			payload: asked.question,
		});
	}
}
