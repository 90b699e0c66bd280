import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import type {Digest} from '@parsleyvale/steering';
import {expect} from 'earl';
import fc from 'fast-check';
import {DigestCodec} from '../src/digest-codec.js';
import {NameHashes} from '../src/name-hashes.js';

const runs = {numRuns: 2000, seed: 11};
const serverIds = Array.from({length: 453}, (_, index) => `i-${index}f3a91c2`);
const customerNames = Array.from({length: 140}, (_, index) => `kaje${index}`);

function createCodec(): DigestCodec {
	const servers = new NameHashes();
	servers.setNames(serverIds);
	const customers = new NameHashes();
	customers.setNames(customerNames);
	return new DigestCodec(servers, customers);
}

const shortDigest: Digest = {
	name: 'front-tpe-a-1',
	incarnation: '7d1c9f5e-6a41-4c0c-9c51-3a2b7e0f4a11',
	sequence: 812,
	region: 'tpe',
	failureDomain: 'tpe-a',
	callers: '10.1.0.7:8668',
	capacity: 1.25,
	address: '10.1.0.7',
	port: 7220,
	isReady: true,
	requestsPerSecond: 23.4,
	configurationVersion: 12,
	configurationAgeMs: 412,
	isReading: false,
	isStoreLost: false,
	storeRegainedAgoMs: null,
	fleetPosition: {era: 3, revision: 2 ** 40 + 1},
	evacuationsPosition: {era: 0, revision: -1},
};

/** The digest that reports only the number of one customer. */
const countsDigest: Digest = {
	...shortDigest,
	customers: {kaje3: [4.5, 17]},
	servers: {'i-7f3a91c2': [1.2, 40]},
	areCountsPartial: true,
};

/** The digest of a host that serves 23 requests per second of 36 customers. */
const fullDigest: Digest = {
	...shortDigest,
	inFlight: Object.fromEntries(serverIds.slice(0, 12).map((id) => [id, 1])),
	handled: serverIds.slice(20, 51).map((id, index) => [id, 2 ** 31 + index]),
	firstWork: serverIds.slice(60, 64).map((id, index) => [id, index, 700]),
	customers: Object.fromEntries(
		customerNames
			.slice(0, 36)
			.map((name, index): [string, [number, number]] => [name, [0.7, index]]),
	),
	servers: {'i-5f3a91c2': [0.4, 3], 'i-6f3a91c2': [2.5, 0]},
	rateLimits: {'i-5f3a91c2': [2.625, 80], 'i-6f3a91c2': [null, 0]},
};

/** The digest of a busy host that reports as many crashes and answers as one may have. */
const crashDigest: Digest = {
	...fullDigest,
	crashes: Array.from({length: 24}, (_, index) => [
		`5a98ae569cdb281853e8d9${index + 10}`,
		2 ** 32 - 1 - index,
		index * 1000,
	]),
	answeredSuspects: Array.from({length: 8}, (_, index) => [
		`1dcbf74e6d81af556a17ae${index + 10}`,
		index,
	]),
};
/** Bytes that a datagram may have on an Ethernet without being split. */
const maximumDatagramBytes = 1472;

describe('a digest', () => {
	for (const port of [0, 65_536, 4_000_000_000]) {
		it(`with the port ${port} is invalid`, () => {
			const codec = createCodec();
			const bytes = Buffer.from(codec.encode({...shortDigest, port}));
			expect(codec.decode(bytes).isErr).toEqual(true);
		});
	}

	for (const [name, digest] of Object.entries({
		shortDigest,
		countsDigest,
		fullDigest,
		crashDigest,
	})) {
		it(`is decoded as it was encoded (${name})`, () => {
			const codec = createCodec();
			const bytes = Buffer.from(codec.encode(digest));
			expect(codec.decode(bytes).unwrapOr(undefined)).toEqual(digest);
		});

		it(`takes at most half of the bytes of its JSON text (${name})`, () => {
			const {length} = createCodec().encode(digest);
			expect(length * 2).toBeLessThanOrEqual(JSON.stringify(digest).length);
		});
	}

	it('fits into one packet, whatever it reports', () => {
		const {length} = createCodec().encode(crashDigest);
		expect(length).toBeLessThanOrEqual(maximumDatagramBytes);
	});

	it('with null, false and empty values is decoded as it was encoded', () => {
		const digest: Digest = {
			...shortDigest,
			isReady: false,
			requestsPerSecond: 0,
			configurationAgeMs: null,
			storeRegainedAgoMs: 0,
			inFlight: {},
			handled: [],
			firstWork: [],
			customers: {},
			servers: {},
			rateLimits: {},
		};
		const codec = createCodec();
		const bytes = Buffer.from(codec.encode(digest));
		expect(codec.decode(bytes).unwrapOr(undefined)).toEqual(digest);
	});

	it('omits servers and customers that the receiver does not know', () => {
		const sender = createCodec();
		const receiver = new DigestCodec(new NameHashes(), new NameHashes());
		const bytes = Buffer.from(sender.encode(fullDigest));
		expect(receiver.decode(bytes).unwrapOr(undefined)).toEqual({
			...fullDigest,
			inFlight: {},
			handled: [],
			firstWork: [],
			customers: {},
			servers: {},
			rateLimits: {},
		});
	});
});

describe('a datagram that is not a digest', () => {
	it('is an error, whatever its bytes', () => {
		const codec = createCodec();
		fc.assert(
			fc.property(fc.uint8Array({maxLength: 200}), (bytes) => {
				codec.decode(Buffer.from(bytes));
			}),
			runs,
		);
		expect(codec.decode(Buffer.from('{"name":"json"}')).isErr).toEqual(true);
	});

	it('is an error or a valid digest if bytes of a digest are changed or cut', () => {
		const codec = createCodec();
		const whole = codec.encode(fullDigest);
		fc.assert(
			fc.property(
				fc.nat({max: whole.length}),
				fc.array(fc.tuple(fc.nat({max: whole.length - 1}), fc.nat(255)), {
					maxLength: 5,
				}),
				(length, changes) => {
					const bytes = Buffer.from(whole.subarray(0, length));
					for (const [index, value] of changes) {
						if (index < length) {
							bytes[index] = value;
						}
					}

					const decoded = codec.decode(bytes);
					if (decoded.isOk) {
						expect(Number.isFinite(decoded.value.requestsPerSecond)).toEqual(
							true,
						);
					}
				},
			),
			runs,
		);
	});
});
