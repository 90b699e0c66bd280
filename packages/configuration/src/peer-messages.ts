import type {Context, Kernel, PeerMessage} from '@parsleyvale/kernel';
import type {VersionedConfiguration} from '@parsleyvale/shared';
import type {z} from 'zod';
import {mergeDelta} from './configuration-delta.js';
import type {KeyWithdrawals} from './key-withdrawals.js';
import {
	confirmSchema,
	deltaMessageSchema,
	syncReplySchema,
	syncRequestSchema,
	topics,
	wholeMessageSchema,
	withdrawSchema,
	type Operation,
} from './messages.js';
import type {PeerSync} from './peer-sync.js';
import type {VersionsInForce} from './versions-in-force.js';

type Parts = {
	readonly sync: PeerSync;
	readonly keyWithdrawals: KeyWithdrawals;
	readonly versions: VersionsInForce;
	readonly onNewer: (
		candidate: VersionedConfiguration,
		context: Context,
	) => void;
};

type Handler = (event: PeerMessage, context: Context) => boolean;

/** A handler that returns false for a payload that breaks the schema. */
function createHandler<Payload>(
	schema: z.ZodType<Payload>,
	handler: (payload: Payload, event: PeerMessage, context: Context) => void,
): Handler {
	return (event, context) => {
		const parsed = schema.safeParse(event.payload);
		if (parsed.success) {
			handler(parsed.data, event, context);
		}

		return parsed.success;
	};
}

function createHandlers(parts: Parts): Map<string, Handler> {
	const {sync, keyWithdrawals, versions, onNewer} = parts;
	const addOperations = (operations: readonly Operation[]) => {
		for (const operation of operations) {
			versions.addOperation(operation);
		}
	};

	return new Map([
		[
			topics.syncRequest,
			createHandler(syncRequestSchema, (request, {from}, context) => {
				sync.onRequest(from, request, context);
			}),
		],
		[
			topics.syncReply,
			createHandler(syncReplySchema, (reply, {from}, {now}) => {
				sync.onReply(from, reply, now);
			}),
		],
		[
			topics.whole,
			createHandler(wholeMessageSchema, (message, _event, context) => {
				addOperations(message.operations);
				onNewer(message.whole, context);
			}),
		],
		[
			topics.delta,
			createHandler(deltaMessageSchema, (message, _event, context) => {
				addOperations(message.operations);
				const {current} = versions;
				const merged =
					current === undefined
						? undefined
						: mergeDelta(current, message.delta);
				if (merged !== undefined) {
					onNewer(merged, context);
				}
			}),
		],
		[
			topics.withdraw,
			createHandler(withdrawSchema, (message, {from}, context) => {
				keyWithdrawals.onWithdraw(from, message, context);
			}),
		],
		[
			topics.confirm,
			createHandler(confirmSchema, (message, {from}) => {
				keyWithdrawals.onConfirm(from, message);
			}),
		],
	]);
}

/**
 * Gives peers' messages to the parts that they are for; counts those that do
 * not fit their schema.
 *
 * @internal
 */
export function onPeerMessages(kernel: Kernel, parts: Parts): void {
	const handlers = createHandlers(parts);
	kernel.on('peer-message', (event, context) => {
		const handler = handlers.get(event.topic);
		if (handler === undefined || handler(event, context)) {
			return;
		}

		context.emit({
			type: 'count',
			name: 'peer_messages_malformed',
			labels: {topic: event.topic},
			by: 1,
		});
	});
}
