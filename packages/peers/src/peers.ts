import {Buffer} from 'node:buffer';
import {
	Server,
	ServerCredentials,
	type ServerReadableStream,
	type sendUnaryData,
} from '@grpc/grpc-js';
import type {EntryHost, Endpoint} from '@parsleyvale/shared';
import {OutgoingStream} from './outgoing-stream.js';
import type {PeerIdentity, ReceivedMessage} from './peer-message.js';
import {
	maximumPayloadBytes,
	peerService,
	type WireEnvelope,
	type WireSummary,
} from './peer-service.js';

/** Room for the other fields of a message. */
const envelopeBytes = 65_536;

/* eslint-disable @typescript-eslint/naming-convention -- These are gRPC's option names. */
const channelOptions = {
	'grpc.max_receive_message_length': maximumPayloadBytes + envelopeBytes,
	'grpc.max_concurrent_streams': 16,
} as const;
/* eslint-enable @typescript-eslint/naming-convention */

export type PeersOptions = {
	readonly self: PeerIdentity;
	/** Address to listen on; port 0 picks a free port. */
	readonly endpoint: Endpoint;
	readonly onMessage: (message: ReceivedMessage) => void;
	/** Called when the stream to a peer fails; messages already sent may or may not have arrived. */
	readonly onUnreachable: (peerName: string) => void;
};

type PeerConnection = {
	readonly target: string;
	readonly stream: OutgoingStream;
};

/** Best-effort messaging between the daemons of entry hosts, over gRPC. */
export class Peers {
	readonly #options: PeersOptions;
	readonly #server = new Server(channelOptions);
	readonly #targets = new Map<string, string>();
	readonly #connections = new Map<string, PeerConnection>();

	constructor(options: PeersOptions) {
		this.#options = options;
		this.#server.addService(peerService, {
			exchange: this.#receive.bind(this),
		});
	}

	/** Starts the gRPC server and returns its port. */
	async listen(): Promise<number> {
		const {address, port} = this.#options.endpoint;
		return new Promise((resolve, reject) => {
			this.#server.bindAsync(
				`${address}:${port}`,
				ServerCredentials.createInsecure(),
				(error, boundPort) => {
					if (error === null) {
						resolve(boundPort);
					} else {
						reject(error);
					}
				},
			);
		});
	}

	/** Replaces the known hosts; closes streams to hosts that are gone or have a new address. */
	setHosts(hosts: readonly EntryHost[]): void {
		this.#targets.clear();
		for (const host of hosts) {
			this.#targets.set(host.name, `${host.peers.address}:${host.peers.port}`);
		}

		for (const [name, connection] of this.#connections) {
			if (this.#targets.get(name) !== connection.target) {
				connection.stream.close();
				this.#connections.delete(name);
			}
		}
	}

	/** Queues a message for a peer; returns false if it was dropped. */
	send(peerName: string, topic: string, payload: unknown): boolean {
		const connection = this.#getOrOpenConnection(peerName);
		if (connection === undefined) {
			return false;
		}

		const {name, incarnation} = this.#options.self;
		return connection.stream.send({
			fromName: name,
			fromIncarnation: incarnation,
			topic,
			payload: Buffer.from(JSON.stringify(payload)),
		});
	}

	close(): void {
		for (const connection of this.#connections.values()) {
			connection.stream.close();
		}

		this.#connections.clear();
		this.#server.forceShutdown();
	}

	#getOrOpenConnection(peerName: string): PeerConnection | undefined {
		const existing = this.#connections.get(peerName);
		if (existing !== undefined) {
			return existing;
		}

		const target = this.#targets.get(peerName);
		if (target === undefined) {
			return undefined;
		}

		const stream = new OutgoingStream(target, () => {
			this.#options.onUnreachable(peerName);
		});
		const connection: PeerConnection = {target, stream};
		this.#connections.set(peerName, connection);
		return connection;
	}

	#receive(
		call: ServerReadableStream<WireEnvelope, WireSummary>,
		respond: sendUnaryData<WireSummary>,
	): void {
		let receivedCount = 0;
		call.on('data', (envelope: WireEnvelope) => {
			receivedCount++;
			this.#deliver(envelope);
		});
		call.on('end', () => {
			respond(null, {received: receivedCount});
		});
		// The sender detects the failure on its own side of the stream.
		call.on('error', () => undefined);
	}

	/** Drops messages whose payload is not valid JSON. */
	#deliver(envelope: WireEnvelope): void {
		const payload = parsePayload(envelope.payload ?? Buffer.alloc(0));
		if (payload === undefined) {
			return;
		}

		this.#options.onMessage({
			from: {
				name: envelope.fromName ?? '',
				incarnation: envelope.fromIncarnation ?? '',
			},
			topic: envelope.topic ?? '',
			payload,
		});
	}
}

function parsePayload(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(bytes).toString('utf8'));
	} catch {
		return undefined;
	}
}

/**
 * Creates the gRPC server and clients of one daemon.
 *
 * @example
 * const peers = createPeers({self, endpoint, onMessage, onUnreachable});
 * const port = await peers.listen();
 */
export function createPeers(options: PeersOptions): Peers {
	return new Peers(options);
}
