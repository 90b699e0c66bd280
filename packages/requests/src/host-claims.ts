import type {
	Claim,
	ClaimListener,
	Context,
	PeerMessage,
	RequestEnded,
} from '@parsleyvale/kernel';
import {
	ErrorKind,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';
import {AskedClaims} from './asked-claims.js';
import {
	questionSchema,
	questionTopic,
	replySchema,
	replyTopic,
	type ClaimQuestion,
} from './claim-messages.js';
import {toClaimName, toEnding} from './claim-object.js';
import type {SettlementOptions} from './claim-settlement.js';
import type {KeyOwner} from './key-owner.js';
import {OwnedClaims} from './owned-claims.js';

/** Claims on keys that name an entry host; they do without the store. */
export class HostClaims {
	readonly #options: SettlementOptions;
	readonly #owned: OwnedClaims;
	readonly #asked = new AskedClaims();
	/** Requests that are over and whose ending is told with `request-ended`. */
	readonly #completing = new Map<RequestId, ClaimQuestion>();

	constructor(options: SettlementOptions) {
		this.#options = options;
		this.#owned = new OwnedClaims(options.membership, options.safeguards);
	}

	/** Whether an owner has still to be told of an ending. */
	get isBusy(): boolean {
		return this.#asked.size > 0;
	}

	/** Asks the host that the key names; the listener hears once. */
	add(
		claim: Claim,
		{incarnation: owner, issuedAt}: KeyOwner,
		listener: ClaimListener,
		context: Context,
	): void {
		const {requestId, fingerprint} = claim;
		const name = this.#toName(claim);
		const kind = 'claim' as const;
		const fields = {owner, name, requestId, fingerprint, issuedAt};
		const question = {kind, ...fields};
		const {self, safeguards} = this.#options;
		if (owner === self.incarnation || !safeguards.asksOwner) {
			listener(this.#owned.handle(question, self, context.now), context);
			return;
		}

		const ownerName = this.#findLive(owner, context.now);
		if (ownerName === undefined) {
			// What the owner knew of an earlier request is gone with it.
			listener(ErrorKind.OutcomeUnknown, context);
			return;
		}

		this.#asked.ask(question, ownerName, listener, context);
	}

	release(
		claim: Claim,
		{incarnation: owner}: KeyOwner,
		context: Context,
	): void {
		const {requestId} = claim;
		const name = this.#toName(claim);
		const question = {kind: 'release' as const, owner, name, requestId};
		this.#owned.handle(question, this.#options.self, context.now);
		this.#asked.release(claim, context);
	}

	complete(claim: Claim, {incarnation: owner}: KeyOwner): void {
		const {requestId} = claim;
		const name = this.#toName(claim);
		const question = {kind: 'complete' as const, owner, name, requestId};
		this.#completing.set(requestId, question);
	}

	onRequestEnded(event: RequestEnded, context: Context): void {
		const question = this.#completing.get(event.requestId);
		if (question === undefined) {
			return;
		}

		this.#completing.delete(event.requestId);
		const ending = toEnding(event.kind);
		const {owner, name, requestId} = question;
		const kind = 'complete' as const;
		const complete = {kind, owner, name, requestId, ending};
		this.#owned.handle(complete, this.#options.self, context.now);
		this.#asked.complete(event.requestId, ending, context);
	}

	onPeerMessage(event: PeerMessage, context: Context): void {
		if (event.topic === questionTopic) {
			this.#onQuestion(event, context);
		}

		const reply = replySchema.safeParse(event.payload);
		if (event.topic === replyTopic && reply.success) {
			this.#asked.onReply(reply.data, event.from.name, context);
		}
	}

	onTick(context: Context): void {
		this.#owned.removeOld(context.now);
		this.#asked.onTick(
			(owner) => this.#findLive(owner, context.now) !== undefined,
			context,
		);
	}

	#onQuestion(event: PeerMessage, context: Context): void {
		const question = questionSchema.safeParse(event.payload);
		const {self} = this.#options;
		if (!question.success || question.data.owner !== self.incarnation) {
			return;
		}

		const {kind, requestId} = question.data;
		const refusal = this.#owned.handle(question.data, event.from, context.now);
		context.emit({
			type: 'send-peer',
			to: event.from.name,
			topic: replyTopic,
			payload: {kind, requestId, refusal},
		});
	}

	#toName(claim: Claim): string {
		return toClaimName(claim, this.#options.safeguards.scopesClaims);
	}

	#findLive(incarnation: string, now: Milliseconds): string | undefined {
		return this.#options.membership
			.listLive(now)
			.find((member) => member.incarnation === incarnation)?.name;
	}
}
