import {Client, credentials, type ClientWritableStream} from '@grpc/grpc-js';
import {
	maximumPayloadBytes,
	peerService,
	type WireEnvelope,
	type WireSummary,
} from './peer-service.js';

/** Messages that would exceed this many unsent bytes are dropped, since delivery is best effort. */
const maximumUnsentBytes = maximumPayloadBytes;

/* eslint-disable @typescript-eslint/naming-convention -- These are gRPC's option names. */
const channelOptions = {
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 1000,
} as const;
/* eslint-enable @typescript-eslint/naming-convention */

/** Sends messages to one peer over a gRPC stream; after a failure, the next message opens a new one. */
export class OutgoingStream {
	readonly #client: Client;
	readonly #onDisconnected: () => void;
	#call: ClientWritableStream<WireEnvelope> | undefined;
	#unsentBytes = 0;

	constructor(target: string, onDisconnected: () => void) {
		this.#client = new Client(
			target,
			credentials.createInsecure(),
			channelOptions,
		);
		this.#onDisconnected = onDisconnected;
	}

	/** Queues a message; returns false if it was dropped. */
	send(envelope: WireEnvelope): boolean {
		const payloadSize = envelope.payload?.length ?? 0;
		if (this.#unsentBytes + payloadSize > maximumUnsentBytes) {
			return false;
		}

		this.#call ??= this.#open();
		this.#unsentBytes += payloadSize;
		this.#call.write(envelope, () => {
			this.#unsentBytes -= payloadSize;
		});
		return true;
	}

	close(): void {
		this.#call?.cancel();
		this.#client.close();
	}

	#open(): ClientWritableStream<WireEnvelope> {
		const {path, requestSerialize, responseDeserialize} = peerService.exchange;
		const call = this.#client.makeClientStreamRequest<
			WireEnvelope,
			WireSummary
		>(path, requestSerialize, responseDeserialize, () => {
			this.#handleEnd(call);
		});
		call.on('error', () => {
			this.#handleEnd(call);
		});
		return call;
	}

	#handleEnd(call: ClientWritableStream<WireEnvelope>): void {
		if (this.#call !== call) {
			return;
		}

		this.#call = undefined;
		this.#unsentBytes = 0;
		this.#onDisconnected();
	}
}
