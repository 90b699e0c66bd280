import type {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {request, type Server} from 'node:http';
import {ByteCollector} from '@parsleyvale/held-bytes';
import {createSmallServer} from '@parsleyvale/pipelining';
import {
	parseRequestTarget,
	type Endpoint,
	type Milliseconds,
} from '@parsleyvale/shared';
import type {Digest, SteeringHost, StorePosition} from '@parsleyvale/steering';
import {copyEncoding, encodeCopy, parseCopyText} from './copy-encoding.js';
import type {DigestCodec} from './digest-codec.js';
import type {QueueTimeBound} from './queue-time-bound.js';
import {storeDeltaSchema, type StoreDelta} from './store-view.js';

/** A delta is a few hundred kilobytes at most; after this time it is requested from another host. */
const deltaTimeout: Milliseconds = 1000;
const maximumDeltaDuration: Milliseconds = 10_000;
const maximumDeltaBytes = 16 * 1024 * 1024;
/** Several hosts at one address may start at the same time. */
const copyLimits = {maximumConnections: 256, maximumConnectionsPerAddress: 128};
const deltaPath = '/copy';

export type PeerTransportOptions = {
	readonly endpoint: Endpoint;
	readonly codec: DigestCodec;
	/** Called with the time for which the digest may have been queued here. */
	readonly onDigest: (digest: Digest, maximumQueueTime: Milliseconds) => void;
	readonly queueTimeBound: QueueTimeBound;
	/** Returns the changes after a version and position; undefined: the store has not been read yet. */
	readonly getDelta: (
		version: number,
		position: StorePosition,
	) => StoreDelta | undefined;
	readonly onError: (message: string, reason: string) => void;
};

type ReceivedCopy = {
	readonly bytes: Buffer;
	readonly encoding: string | undefined;
};

/**
 * Communication between hosts: digests over UDP, where the next digest makes up
 * for a lost one, and store deltas on request over HTTP.
 */
export class PeerTransport {
	readonly #options: PeerTransportOptions;
	readonly #socket: Socket = createSocket('udp4');
	readonly #server: Server;

	constructor(options: PeerTransportOptions) {
		this.#options = options;
		this.#socket.on('message', (bytes) => {
			this.#onDatagram(bytes);
		});
		this.#socket.on('error', (error) => {
			options.onError('peer socket error', error.message);
		});
		this.#server = createSmallServer({
			...copyLimits,
			onLimitReached(limit) {
				options.onError('limit of the peer endpoint reached', limit);
			},
			onRequest(incomingRequest, response) {
				const url = parseRequestTarget(incomingRequest.url);
				if (url?.pathname !== deltaPath) {
					response.writeHead(404).end();
					return;
				}

				const version = Number(url.searchParams.get('version') ?? -1);
				const delta = options.getDelta(version, {
					era: Number(url.searchParams.get('era') ?? 0),
					revision: Number(url.searchParams.get('revision') ?? -1),
				});
				response.statusCode = delta === undefined ? 503 : 200;
				response.setHeader('content-type', 'application/json');
				const {bytes, encoding} = encodeCopy(
					JSON.stringify(delta ?? null),
					incomingRequest.headers['accept-encoding'],
				);
				if (encoding !== undefined) {
					response.setHeader('content-encoding', encoding);
				}

				response.end(bytes);
			},
		});
	}

	async listen(): Promise<void> {
		const {address, port} = this.#options.endpoint;
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(port, address, resolve);
		});
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, address, resolve);
		});
	}

	sendDigest(
		to: ReadonlyArray<Pick<SteeringHost, 'peerAddress' | 'peerPort'>>,
		digest: Digest,
	): void {
		const bytes = this.#options.codec.encode(digest);
		for (const {peerAddress, peerPort} of to) {
			this.#socket.send(bytes, peerPort, peerAddress, (error) => {
				if (error !== null) {
					this.#options.onError('failed to send digest to peer', error.message);
				}
			});
		}
	}

	/** Fetches the changes that another host has after a version and position; undefined on failure. */
	async fetchDelta(
		{address, port}: Endpoint,
		version: number,
		{era, revision}: StorePosition,
	): Promise<StoreDelta | undefined> {
		const query = `?version=${version}&era=${era}&revision=${revision}`;
		const copy = await this.#get({address, port}, `${deltaPath}${query}`);
		if (copy === undefined) {
			return undefined;
		}

		try {
			const text = parseCopyText(copy.bytes, copy.encoding);
			return storeDeltaSchema.parse(JSON.parse(text));
		} catch (error) {
			this.#options.onError('invalid store delta from peer', String(error));
			return undefined;
		}
	}

	close(): void {
		this.#socket.close();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #get(
		{address, port}: Endpoint,
		path: string,
	): Promise<ReceivedCopy | undefined> {
		return new Promise((resolve) => {
			const outgoingRequest = request(
				{
					host: address,
					port,
					path,
					agent: false,
					headers: {'accept-encoding': copyEncoding},
					signal: AbortSignal.timeout(maximumDeltaDuration),
				},
				(response) => {
					const collector = new ByteCollector();
					response.on('data', (chunk: Buffer) => {
						collector.add(chunk);
						if (collector.length > maximumDeltaBytes) {
							outgoingRequest.destroy(new Error('too long'));
						}
					});
					response.on('end', () => {
						const copy = {
							bytes: collector.toBuffer(),
							encoding: response.headers['content-encoding'],
						};
						resolve(response.statusCode === 200 ? copy : undefined);
					});
					response.on('error', () => {
						resolve(undefined);
					});
				},
			);
			outgoingRequest.setTimeout(deltaTimeout, () => {
				outgoingRequest.destroy(new Error('timeout'));
			});
			outgoingRequest.on('error', (error) => {
				this.#options.onError(
					'failed to fetch store delta from peer',
					error.message,
				);
				resolve(undefined);
			});
			outgoingRequest.end();
		});
	}

	#onDatagram(bytes: Buffer): void {
		const {codec, onDigest, onError, queueTimeBound} = this.#options;
		const maximumQueueTime = queueTimeBound.update();
		const decoded = codec.decode(bytes);
		if (decoded.isOk) {
			onDigest(decoded.value, maximumQueueTime);
		} else {
			onError('invalid digest from peer', decoded.error);
		}
	}
}
