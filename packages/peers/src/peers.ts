import {Buffer} from 'node:buffer';
import {
	Server,
	ServerCredentials,
	type ServerReadableStream,
	type sendUnaryData,
} from '@grpc/grpc-js';
import type {EntryHost, Endpoint} from '@parsleyvale/shared';
import {OutgoingStream} from './outgoing-stream.js';
import type {PeerSender, ReceivedMessage} from './peer-message.js';
import {
	peerService,
	type WireEnvelope,
	type WireSummary,
} from './peer-service.js';

export type PeersOptions = {
	readonly self: PeerSender;
	/** Where this daemon listens; port 0 lets the system choose. */
	readonly endpoint: Endpoint;
	readonly onMessage: (message: ReceivedMessage) => void;
	/** A peer's stream broke; what was sent may or may not have arrived. */
	readonly onUnreachable: (name: string) => void;
};

type Route = {readonly target: string; readonly stream: OutgoingStream};

/** Best-effort messages between the daemons of entry hosts, over gRPC. */
export class Peers {
	readonly #options: PeersOptions;
	readonly #server = new Server();
	readonly #targets = new Map<string, string>();
	readonly #routes = new Map<string, Route>();

	constructor(options: PeersOptions) {
		this.#options = options;
		this.#server.addService(peerService, {
			exchange: this.#receive.bind(this),
		});
	}

	/** Starts to listen and returns the port. */
	async listen(): Promise<number> {
		const {address, port} = this.#options.endpoint;
		return new Promise((resolve, reject) => {
			this.#server.bindAsync(
				`${address}:${port}`,
				ServerCredentials.createInsecure(),
				(error, bound) => {
					if (error === null) {
						resolve(bound);
					} else {
						reject(error);
					}
				},
			);
		});
	}

	/** Tells where peers are; those not named any more are forgotten. */
	setHosts(hosts: readonly EntryHost[]): void {
		this.#targets.clear();
		for (const host of hosts) {
			this.#targets.set(host.name, `${host.peers.address}:${host.peers.port}`);
		}

		for (const [name, route] of this.#routes) {
			if (this.#targets.get(name) !== route.target) {
				route.stream.close();
				this.#routes.delete(name);
			}
		}
	}

	/** Sends one message; false when it is surely lost. */
	send(to: string, topic: string, payload: unknown): boolean {
		const route = this.#findRoute(to);
		if (route === undefined) {
			return false;
		}

		const {name, incarnation} = this.#options.self;
		return route.stream.send({
			fromName: name,
			fromIncarnation: incarnation,
			topic,
			payload: Buffer.from(JSON.stringify(payload)),
		});
	}

	close(): void {
		for (const route of this.#routes.values()) {
			route.stream.close();
		}

		this.#routes.clear();
		this.#server.forceShutdown();
	}

	#findRoute(to: string): Route | undefined {
		const known = this.#routes.get(to);
		if (known !== undefined) {
			return known;
		}

		const target = this.#targets.get(to);
		if (target === undefined) {
			return undefined;
		}

		const stream = new OutgoingStream(target, () => {
			this.#options.onUnreachable(to);
		});
		const route: Route = {target, stream};
		this.#routes.set(to, route);
		return route;
	}

	#receive(
		call: ServerReadableStream<WireEnvelope, WireSummary>,
		answer: sendUnaryData<WireSummary>,
	): void {
		let received = 0;
		call.on('data', (envelope: WireEnvelope) => {
			received++;
			this.#take(envelope);
		});
		call.on('end', () => {
			answer(null, {received});
		});
		// The sender's own stream tells it of the break; nothing is left to do.
		call.on('error', () => undefined);
	}

	#take(envelope: WireEnvelope): void {
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
 * The gRPC side of one daemon.
 *
 * @example
 * const peers = createPeers({self, endpoint, onMessage, onUnreachable});
 * const port = await peers.listen();
 */
export function createPeers(options: PeersOptions): Peers {
	return new Peers(options);
}
