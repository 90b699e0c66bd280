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
import {RemoteKeyClaims} from './remote-key-claims.js';
import {
	claimCommandSchema,
	claimCommandTopic,
	claimReplySchema,
	claimReplyTopic,
	type ClaimCommand,
} from './claim-messages.js';
import {toClaimObjectName, toClaimOutcome} from './claim-object.js';
import type {ClaimsDependencies} from './claim-settlement.js';
import type {KeyOwner} from './key-owner.js';
import {LocalKeyClaims} from './local-key-claims.js';

/**
 * Claims on keys that name an entry host. That host, the owner of the key, keeps
 * them in its memory, so that they do not need the store.
 */
export class HostKeyClaims {
	readonly #options: ClaimsDependencies;
	readonly #local: LocalKeyClaims;
	readonly #remote = new RemoteKeyClaims();
	/** Completed requests whose outcome arrives with `request-ended`. */
	readonly #pendingCompletions = new Map<RequestId, ClaimCommand>();

	constructor(options: ClaimsDependencies) {
		this.#options = options;
		this.#local = new LocalKeyClaims(options.membership, options.safeguards);
	}

	/** Whether a claim of this host at another host is not settled yet. */
	get isBusy(): boolean {
		return this.#remote.size > 0;
	}

	/** Requests a claim from the owner of the key; calls the listener once. */
	add(
		claim: Claim,
		{incarnation: ownerIncarnation, issuedAt}: KeyOwner,
		listener: ClaimListener,
		context: Context,
	): void {
		const {requestId, fingerprint} = claim;
		const name = this.#toObjectName(claim);
		const kind = 'claim' as const;
		const fields = {
			owner: ownerIncarnation,
			name,
			requestId,
			fingerprint,
			issuedAt,
		};
		const command = {kind, ...fields};
		const {self, safeguards} = this.#options;
		if (ownerIncarnation === self.incarnation || !safeguards.askOwner) {
			listener(this.#local.handle(command, self, context.now), context);
			return;
		}

		const ownerName = this.#findLiveHost(ownerIncarnation, context.now);
		if (ownerName === undefined) {
			// The claims of earlier requests were lost with the memory of the owner.
			listener(ErrorKind.OutcomeUnknown, context);
			return;
		}

		this.#remote.add(command, ownerName, listener, context);
	}

	release(
		claim: Claim,
		{incarnation: ownerIncarnation}: KeyOwner,
		context: Context,
	): void {
		const {requestId} = claim;
		const name = this.#toObjectName(claim);
		const command = {
			kind: 'release' as const,
			owner: ownerIncarnation,
			name,
			requestId,
		};
		this.#local.handle(command, this.#options.self, context.now);
		this.#remote.release(claim, context);
	}

	complete(claim: Claim, {incarnation: ownerIncarnation}: KeyOwner): void {
		const {requestId} = claim;
		const name = this.#toObjectName(claim);
		const command = {
			kind: 'complete' as const,
			owner: ownerIncarnation,
			name,
			requestId,
		};
		this.#pendingCompletions.set(requestId, command);
	}

	onRequestEnded(event: RequestEnded, context: Context): void {
		const pending = this.#pendingCompletions.get(event.requestId);
		if (pending === undefined) {
			return;
		}

		this.#pendingCompletions.delete(event.requestId);
		const outcome = toClaimOutcome(event.kind);
		const {owner, name, requestId} = pending;
		const kind = 'complete' as const;
		const command = {kind, owner, name, requestId, ending: outcome};
		this.#local.handle(command, this.#options.self, context.now);
		this.#remote.complete(event.requestId, outcome, context);
	}

	onPeerMessage(event: PeerMessage, context: Context): void {
		if (event.topic === claimCommandTopic) {
			this.#onCommand(event, context);
		}

		const reply = claimReplySchema.safeParse(event.payload);
		if (event.topic === claimReplyTopic && reply.success) {
			this.#remote.onReply(reply.data, event.from.name, context);
		}
	}

	onTick(context: Context): void {
		this.#local.removeExpired(context.now);
		this.#remote.onTick(
			(ownerIncarnation) =>
				this.#findLiveHost(ownerIncarnation, context.now) !== undefined,
			context,
		);
	}

	#onCommand(event: PeerMessage, context: Context): void {
		const command = claimCommandSchema.safeParse(event.payload);
		const {self} = this.#options;
		if (!command.success || command.data.owner !== self.incarnation) {
			return;
		}

		const {kind, requestId} = command.data;
		const refusal = this.#local.handle(command.data, event.from, context.now);
		context.emit({
			type: 'send-peer',
			to: event.from.name,
			topic: claimReplyTopic,
			payload: {kind, requestId, refusal},
		});
	}

	#toObjectName(claim: Claim): string {
		return toClaimObjectName(claim, this.#options.safeguards.scopeClaims);
	}

	#findLiveHost(incarnation: string, now: Milliseconds): string | undefined {
		return this.#options.membership
			.listLive(now)
			.find((member) => member.incarnation === incarnation)?.name;
	}
}
