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
import {RemoteClaims} from './remote-claims.js';
import {
	commandSchema,
	commandTopic,
	replySchema,
	replyTopic,
	type ClaimCommand,
} from './claim-messages.js';
import {toClaimObjectName, toClaimEnding} from './claim-object.js';
import type {ClaimsDependencies} from './claim-settlement.js';
import type {KeyOwner} from './key-owner.js';
import {OwnedClaims} from './owned-claims.js';

/** Claims on keys that name an entry host; they do not need the store. */
export class HostClaims {
	readonly #options: ClaimsDependencies;
	readonly #owned: OwnedClaims;
	readonly #remote = new RemoteClaims();
	/** Completed requests whose ending arrives with `request-ended`. */
	readonly #pendingCompletions = new Map<RequestId, ClaimCommand>();

	constructor(options: ClaimsDependencies) {
		this.#options = options;
		this.#owned = new OwnedClaims(options.membership, options.safeguards);
	}

	/** Whether a claim of this host is still unsettled at another host. */
	get isBusy(): boolean {
		return this.#remote.size > 0;
	}

	/** Requests a claim from the host that the key names; calls the listener once. */
	add(
		claim: Claim,
		{incarnation: owner, issuedAt}: KeyOwner,
		listener: ClaimListener,
		context: Context,
	): void {
		const {requestId, fingerprint} = claim;
		const name = this.#toObjectName(claim);
		const kind = 'claim' as const;
		const fields = {owner, name, requestId, fingerprint, issuedAt};
		const command = {kind, ...fields};
		const {self, safeguards} = this.#options;
		if (owner === self.incarnation || !safeguards.asksOwner) {
			listener(this.#owned.handle(command, self, context.now), context);
			return;
		}

		const ownerName = this.#findLiveHost(owner, context.now);
		if (ownerName === undefined) {
			// The claims of earlier requests were lost with the memory of the owner.
			listener(ErrorKind.OutcomeUnknown, context);
			return;
		}

		this.#remote.add(command, ownerName, listener, context);
	}

	release(
		claim: Claim,
		{incarnation: owner}: KeyOwner,
		context: Context,
	): void {
		const {requestId} = claim;
		const name = this.#toObjectName(claim);
		const command = {kind: 'release' as const, owner, name, requestId};
		this.#owned.handle(command, this.#options.self, context.now);
		this.#remote.release(claim, context);
	}

	complete(claim: Claim, {incarnation: owner}: KeyOwner): void {
		const {requestId} = claim;
		const name = this.#toObjectName(claim);
		const command = {kind: 'complete' as const, owner, name, requestId};
		this.#pendingCompletions.set(requestId, command);
	}

	onRequestEnded(event: RequestEnded, context: Context): void {
		const pending = this.#pendingCompletions.get(event.requestId);
		if (pending === undefined) {
			return;
		}

		this.#pendingCompletions.delete(event.requestId);
		const ending = toClaimEnding(event.kind);
		const {owner, name, requestId} = pending;
		const kind = 'complete' as const;
		const command = {kind, owner, name, requestId, ending};
		this.#owned.handle(command, this.#options.self, context.now);
		this.#remote.complete(event.requestId, ending, context);
	}

	onPeerMessage(event: PeerMessage, context: Context): void {
		if (event.topic === commandTopic) {
			this.#onCommand(event, context);
		}

		const reply = replySchema.safeParse(event.payload);
		if (event.topic === replyTopic && reply.success) {
			this.#remote.onReply(reply.data, event.from.name, context);
		}
	}

	onTick(context: Context): void {
		this.#owned.removeExpired(context.now);
		this.#remote.onTick(
			(owner) => this.#findLiveHost(owner, context.now) !== undefined,
			context,
		);
	}

	#onCommand(event: PeerMessage, context: Context): void {
		const command = commandSchema.safeParse(event.payload);
		const {self} = this.#options;
		if (!command.success || command.data.owner !== self.incarnation) {
			return;
		}

		const {kind, requestId} = command.data;
		const refusal = this.#owned.handle(command.data, event.from, context.now);
		context.emit({
			type: 'send-peer',
			to: event.from.name,
			topic: replyTopic,
			payload: {kind, requestId, refusal},
		});
	}

	#toObjectName(claim: Claim): string {
		return toClaimObjectName(claim, this.#options.safeguards.scopesClaims);
	}

	#findLiveHost(incarnation: string, now: Milliseconds): string | undefined {
		return this.#options.membership
			.listLive(now)
			.find((member) => member.incarnation === incarnation)?.name;
	}
}
