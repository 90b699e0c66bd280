import {Client, credentials, type ClientWritableStream} from '@grpc/grpc-js';
import {
	peerService,
	type WireEnvelope,
	type WireSummary,
} from './peer-service.js';

/** Messages beyond this many bytes unsent are dropped: delivery is best effort. */
const maximumUnsentBytes = 4 * 1024 * 1024;

/* eslint-disable @typescript-eslint/naming-convention -- gRPC names its options so. */
const channelOptions = {
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 1000,
} as const;
/* eslint-enable @typescript-eslint/naming-convention */

/** The messages to one peer, over one gRPC stream that is renewed on failure. */
export class OutgoingStream {
	readonly #client: Client;
	readonly #onBroken: () => void;
	#call: ClientWritableStream<WireEnvelope> | undefined;
	#unsentBytes = 0;

	constructor(target: string, onBroken: () => void) {
		this.#client = new Client(
			target,
			credentials.createInsecure(),
			channelOptions,
		);
		this.#onBroken = onBroken;
	}

	/** Returns false when the message was dropped. */
	send(envelope: WireEnvelope): boolean {
		const size = envelope.payload?.length ?? 0;
		if (this.#unsentBytes + size > maximumUnsentBytes) {
			return false;
		}

		this.#call ??= this.#open();
		this.#unsentBytes += size;
		this.#call.write(envelope, () => {
			this.#unsentBytes -= size;
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
			this.#onEnded(call);
		});
		call.on('error', () => {
			this.#onEnded(call);
		});
		return call;
	}

	#onEnded(call: ClientWritableStream<WireEnvelope>): void {
		if (this.#call !== call) {
			return;
		}

		this.#call = undefined;
		this.#unsentBytes = 0;
		this.#onBroken();
	}
}
