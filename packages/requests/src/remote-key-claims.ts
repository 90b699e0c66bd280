import type {Claim, ClaimListener, Context} from '@parsleyvale/kernel';
import {
	ErrorKind,
	type EntryHostName,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';
import {
	claimCommandTopic,
	type ClaimCommand,
	type ClaimReply,
} from './claim-messages.js';
import {
	claimRetryInterval,
	claimTimeout,
	maximumUnsettledClaims,
} from './limits.js';

type RemoteKeyClaim = {
	readonly ownerName: EntryHostName;
	readonly requestedAt: Milliseconds;
	/** Command to send, and to resend until the owner replies. */
	command: ClaimCommand;
	isPending: boolean;
	lastSentAt: Milliseconds;
	listener: ClaimListener | undefined;
};

/** Claims of this host's requests on keys that name another host, which keeps them. */
export class RemoteKeyClaims {
	readonly #claims = new Map<RequestId, RemoteKeyClaim>();

	get size(): number {
		return this.#claims.size;
	}

	/** Requests a claim from its owner; calls the listener once. */
	add(
		command: Extract<ClaimCommand, {kind: 'claim'}>,
		ownerName: EntryHostName,
		listener: ClaimListener,
		context: Context,
	): void {
		if (this.#claims.size >= maximumUnsettledClaims) {
			listener(ErrorKind.ClaimUnavailable, context);
			return;
		}

		const remote: RemoteKeyClaim = {
			ownerName,
			requestedAt: context.now,
			command,
			isPending: true,
			lastSentAt: context.now,
			listener,
		};
		this.#claims.set(command.requestId, remote);
		this.#send(remote, context);
	}

	/** Releases the claim of a request that did not run. */
	release(claim: Claim, context: Context): void {
		const remote = this.#claims.get(claim.requestId);
		if (remote !== undefined) {
			remote.listener = undefined;
			const {owner, name, requestId} = remote.command;
			this.#replaceCommand(
				remote,
				{kind: 'release', owner, name, requestId},
				context,
			);
		}
	}

	/** Sends the outcome of the request to the owner. */
	complete(
		requestId: RequestId,
		outcome: 'answered' | 'unknown',
		context: Context,
	): void {
		const remote = this.#claims.get(requestId);
		if (remote?.command.kind === 'claim') {
			const {owner, name} = remote.command;
			const command = {owner, name, requestId, ending: outcome};
			this.#replaceCommand(remote, {kind: 'complete', ...command}, context);
		}
	}

	onReply(reply: ClaimReply, from: EntryHostName, context: Context): void {
		const remote = this.#claims.get(reply.requestId);
		const isExpected =
			remote?.command.kind === reply.kind && remote.ownerName === from;
		if (!isExpected || !remote.isPending) {
			return;
		}

		remote.isPending = false;
		if (reply.kind !== 'claim') {
			this.#claims.delete(reply.requestId);
			return;
		}

		if (reply.refusal !== undefined) {
			this.#claims.delete(reply.requestId);
		}

		this.#notifyListener(remote, reply.refusal, context);
	}

	/** Resends commands; releases claims that timed out and forgets those whose owner is gone. */
	onTick(isLive: (owner: string) => boolean, context: Context): void {
		for (const [requestId, remote] of this.#claims) {
			if (!remote.isPending) {
				continue;
			}

			if (!isLive(remote.command.owner)) {
				this.#claims.delete(requestId);
				this.#notifyListener(remote, ErrorKind.OutcomeUnknown, context);
			} else if (
				remote.listener !== undefined &&
				context.now - remote.requestedAt >= claimTimeout
			) {
				this.#refuseTimedOut(remote, context);
			} else if (context.now - remote.lastSentAt >= claimRetryInterval) {
				this.#send(remote, context);
			}
		}
	}

	#refuseTimedOut(remote: RemoteKeyClaim, context: Context): void {
		const {owner, name, requestId} = remote.command;
		this.#replaceCommand(
			remote,
			{kind: 'release', owner, name, requestId},
			context,
		);
		this.#notifyListener(remote, ErrorKind.ClaimUnavailable, context);
	}

	#notifyListener(
		remote: RemoteKeyClaim,
		refusal: ErrorKind | undefined,
		context: Context,
	): void {
		const {listener} = remote;
		remote.listener = undefined;
		listener?.(refusal, context);
	}

	#replaceCommand(
		remote: RemoteKeyClaim,
		command: ClaimCommand,
		context: Context,
	): void {
		remote.command = command;
		remote.isPending = true;
		this.#send(remote, context);
	}

	#send(remote: RemoteKeyClaim, context: Context): void {
		remote.lastSentAt = context.now;
		context.emit({
			type: 'send-peer',
			to: remote.ownerName,
			topic: claimCommandTopic,
			payload: remote.command,
		});
	}
}
