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
	snapshotMessageSchema,
	withdrawSchema,
	type Operation,
} from './messages.js';
import type {PeerSync} from './peer-sync.js';
import type {ConfigurationHistory} from './configuration-history.js';

type Dependencies = {
	readonly peerSync: PeerSync;
	readonly keyWithdrawals: KeyWithdrawals;
	readonly history: ConfigurationHistory;
	readonly onConfiguration: (
		candidate: VersionedConfiguration,
		context: Context,
	) => void;
};

type Handler = (event: PeerMessage, context: Context) => boolean;

/** The handler returns false for a payload that violates the schema. */
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

function createHandlers(dependencies: Dependencies): Map<string, Handler> {
	const {peerSync, keyWithdrawals, history, onConfiguration} = dependencies;
	const addOperations = (operations: readonly Operation[]) => {
		for (const operation of operations) {
			history.addOperation(operation);
		}
	};

	return new Map([
		[
			topics.syncRequest,
			createHandler(syncRequestSchema, (request, {from}, context) => {
				peerSync.onRequest(from, request, context);
			}),
		],
		[
			topics.syncReply,
			createHandler(syncReplySchema, (reply, {from}, {now}) => {
				peerSync.onReply(from, reply, now);
			}),
		],
		[
			topics.snapshot,
			createHandler(snapshotMessageSchema, (message, _event, context) => {
				addOperations(message.operations);
				onConfiguration(message.whole, context);
			}),
		],
		[
			topics.delta,
			createHandler(deltaMessageSchema, (message, _event, context) => {
				addOperations(message.operations);
				const {current} = history;
				const merged =
					current === undefined
						? undefined
						: mergeDelta(current, message.delta);
				if (merged !== undefined) {
					onConfiguration(merged, context);
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
 * Dispatches peer messages by topic, and counts payloads that violate their
 * schema.
 *
 * @internal
 */
export function onPeerMessages(
	kernel: Kernel,
	dependencies: Dependencies,
): void {
	const handlers = createHandlers(dependencies);
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
