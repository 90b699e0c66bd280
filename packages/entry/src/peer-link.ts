import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {createServer, request, type Server} from 'node:http';
import type {Endpoint, Milliseconds} from '@parsleyvale/shared';
import {
	digestSchema,
	type Digest,
	type SteeringHost,
} from '@parsleyvale/steering';
import {storeCopySchema, type StoreCopy} from './store-view.js';

/** A copy that takes longer is asked for again, elsewhere: it is a few hundred kilobytes at most. */
const copyTimeout: Milliseconds = 1000;
const copyPath = '/copy';

export type PeerLinkOptions = {
	readonly endpoint: Endpoint;
	readonly onDigest: (digest: Digest) => void;
	/** What a host with that version and revision lacks; undefined: nothing is known yet. */
	readonly getCopy: (
		version: number,
		revision: number,
	) => StoreCopy | undefined;
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
		this.#server = createServer((call, response) => {
			const {searchParams} = new URL(call.url ?? '/', 'http://peer');
			const version = Number(searchParams.get('version') ?? -1);
			const revision = Number(searchParams.get('revision') ?? -1);
			const copy = options.getCopy(version, revision);
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

	/** Gets what another host has that is newer; undefined when nothing came. */
	async fetchCopy(
		{address, port}: Endpoint,
		version: number,
		revision: number,
	): Promise<StoreCopy | undefined> {
		const query = `?version=${version}&revision=${revision}`;
		const text = await this.#get({address, port}, `${copyPath}${query}`);
		if (text === undefined) {
			return undefined;
		}

		try {
			return storeCopySchema.parse(JSON.parse(text));
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

	async #get(
		{address, port}: Endpoint,
		path: string,
	): Promise<string | undefined> {
		return new Promise((resolve) => {
			const call = request(
				{host: address, port, path, agent: false},
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
