import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {createServer, request, type Server} from 'node:http';
import type {Endpoint, Milliseconds} from '@parsleyvale/shared';
import {
	backendServerSchema,
	digestSchema,
	steeringConfigurationSchema,
	type Digest,
	type SteeringHost,
} from '@parsleyvale/steering';
import {z} from 'zod';

/** A host's copy of the configuration and the servers, for one that cannot ask the store. */
export const fleetCopySchema = z.object({
	configuration: steeringConfigurationSchema,
	/** How long ago the configuration was known to be the newest; null: not known. */
	configurationAgeMs: z.number().nullable(),
	revision: z.int(),
	servers: z.array(backendServerSchema),
	evacuated: z.array(z.string()),
});

export type FleetCopy = z.infer<typeof fleetCopySchema>;

/** A copy that takes longer is asked for again, elsewhere: it is a few hundred kilobytes at most. */
const copyTimeout: Milliseconds = 1000;
const copyPath = '/copy';

export type PeerLinkOptions = {
	readonly endpoint: Endpoint;
	readonly onDigest: (digest: Digest) => void;
	/** Undefined: there is nothing to copy yet. */
	readonly getCopy: () => FleetCopy | undefined;
	readonly onProblem: (message: string, reason: string) => void;
};

/**
 * What hosts tell each other: digests as datagrams, of which a lost one is
 * replaced by the next, and whole copies on request over HTTP.
 */
export class PeerLink {
	readonly #options: PeerLinkOptions;
	readonly #socket: Socket = createSocket('udp4');
	readonly #server: Server;

	constructor(options: PeerLinkOptions) {
		this.#options = options;
		this.#socket.on('message', (bytes) => {
			this.#onDatagram(bytes);
		});
		this.#socket.on('error', (error) => {
			options.onProblem('datagram failed', error.message);
		});
		this.#server = createServer((_request, response) => {
			const copy = options.getCopy();
			response.statusCode = copy === undefined ? 503 : 200;
			response.setHeader('content-type', 'application/json');
			response.end(JSON.stringify(copy ?? null));
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
		const bytes = Buffer.from(JSON.stringify(digest));
		for (const {peerAddress, peerPort} of to) {
			this.#socket.send(bytes, peerPort, peerAddress, (error) => {
				if (error !== null) {
					this.#options.onProblem('datagram not sent', error.message);
				}
			});
		}
	}

	/** Gets another host's copy; undefined when none came. */
	async fetchCopy(
		address: string,
		port: number,
	): Promise<FleetCopy | undefined> {
		const text = await this.#get(address, port);
		if (text === undefined) {
			return undefined;
		}

		try {
			return fleetCopySchema.parse(JSON.parse(text));
		} catch (error) {
			this.#options.onProblem('copy not understood', String(error));
			return undefined;
		}
	}

	close(): void {
		this.#socket.close();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #get(address: string, port: number): Promise<string | undefined> {
		return new Promise((resolve) => {
			const call = request(
				{host: address, port, path: copyPath, agent: false},
				(response) => {
					const chunks: Buffer[] = [];
					response.on('data', (chunk: Buffer) => chunks.push(chunk));
					response.on('end', () => {
						const text = Buffer.concat(chunks).toString('utf8');
						resolve(response.statusCode === 200 ? text : undefined);
					});
					response.on('error', () => {
						resolve(undefined);
					});
				},
			);
			call.setTimeout(copyTimeout, () => {
				call.destroy(new Error('timeout'));
			});
			call.on('error', (error) => {
				this.#options.onProblem('copy not fetched', error.message);
				resolve(undefined);
			});
			call.end();
		});
	}

	#onDatagram(bytes: Buffer): void {
		try {
			this.#options.onDigest(
				digestSchema.parse(JSON.parse(bytes.toString('utf8'))),
			);
		} catch (error) {
			this.#options.onProblem('digest not understood', String(error));
		}
	}
}
