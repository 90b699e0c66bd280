import {Buffer} from 'node:buffer';
import {digestSchema, type Digest} from '@parsleyvale/steering';
import {Result} from 'true-myth';
import type {NameHashes} from './name-hashes.js';
import {parsleyvale} from '#generated/digest.js';

type Message = InstanceType<typeof parsleyvale.entry.DigestMessage>;
type LoadProperties = parsleyvale.entry.LoadMessage.$Properties;
type CountsProperties = parsleyvale.entry.CountsMessage.$Properties;
type CrashesProperties = parsleyvale.entry.CrashesMessage.$Properties;
type AnsweredProperties = parsleyvale.entry.AnsweredMessage.$Properties;
type RateLimitsProperties = parsleyvale.entry.RateLimitsMessage.$Properties;
type Counts = NonNullable<Digest['customers']>;

/** Rates are sent as requests in ten seconds, a whole number. */
const rateScale = 10;
/** Stands for the end of a rate limit. */
const noLimit = -1;

/** Encodes and decodes the datagrams that carry digests. */
export class DigestCodec {
	readonly #servers: NameHashes;
	readonly #customers: NameHashes;

	constructor(servers: NameHashes, customers: NameHashes) {
		this.#servers = servers;
		this.#customers = customers;
	}

	encode(digest: Digest): Uint8Array {
		const {requestsPerSecond, configurationAgeMs, inFlight} = digest;
		const {customers, servers, rateLimits, crashes, answeredSuspects} = digest;
		const {handled, firstWork, fleetPosition, evacuationsPosition, ...common} =
			digest;
		return parsleyvale.entry.DigestMessage.encode({
			...common,
			fleetEra: fleetPosition.era,
			fleetRevision: fleetPosition.revision,
			evacuationsEra: evacuationsPosition.era,
			evacuationsRevision: evacuationsPosition.revision,
			requestsPerTenSeconds: toWholeRate(requestsPerSecond),
			configurationAgeMs:
				configurationAgeMs === null ? null : Math.max(0, configurationAgeMs),
			load: inFlight && this.#createLoad(inFlight, handled, firstWork),
			customers: customers && createCounts(customers, this.#customers),
			servers: servers && createCounts(servers, this.#servers),
			rateLimits: rateLimits && this.#createRateLimits(rateLimits),
			crashes: crashes && {
				requests: crashes.map(([identity]) => Buffer.from(identity, 'hex')),
				servers: crashes.map(([, server]) => server),
				agesMs: crashes.map((crash) => crash[2]),
			},
			answeredSuspects: answeredSuspects && {
				requests: answeredSuspects.map(([identity]) =>
					Buffer.from(identity, 'hex'),
				),
				agesMs: answeredSuspects.map(([, age]) => age),
			},
		}).finish();
	}

	/** Errors: the bytes are not a valid digest. Names that are not known here are omitted. */
	decode(bytes: Buffer): Result<Digest, string> {
		try {
			const parsed = digestSchema.safeParse(
				this.#toDigest(parsleyvale.entry.DigestMessage.decode(bytes)),
			);
			return parsed.success
				? Result.ok(parsed.data)
				: Result.err(parsed.error.message);
		} catch (error) {
			return Result.err(String(error));
		}
	}

	#toDigest(message: Message): Digest {
		const {load, customers, servers, rateLimits} = message;
		const {crashes, answeredSuspects} = message;
		return {
			name: message.name,
			incarnation: message.incarnation,
			sequence: message.sequence,
			region: message.region,
			failureDomain: message.failureDomain,
			callers: message.callers,
			capacity: message.capacity,
			address: message.address,
			port: message.port,
			isReady: message.isReady,
			requestsPerSecond: message.requestsPerTenSeconds / rateScale,
			configurationVersion: message.configurationVersion,
			configurationAgeMs: message.configurationAgeMs ?? null,
			isReading: message.isReading,
			isStoreLost: message.isStoreLost,
			storeRegainedAgoMs: message.storeRegainedAgoMs ?? null,
			fleetPosition: {
				era: message.fleetEra,
				revision: message.fleetRevision,
			},
			evacuationsPosition: {
				era: message.evacuationsEra,
				revision: message.evacuationsRevision,
			},
			...(load && this.#toLoad(load)),
			...(customers && {customers: toCounts(customers, this.#customers)}),
			...(servers && {servers: toCounts(servers, this.#servers)}),
			...(rateLimits && {rateLimits: this.#toRateLimits(rateLimits)}),
			...(crashes && {crashes: toCrashes(crashes)}),
			...(answeredSuspects && {
				answeredSuspects: toAnsweredSuspects(answeredSuspects),
			}),
			...(message.areCountsPartial && {areCountsPartial: true}),
		};
	}

	#createLoad(
		inFlight: NonNullable<Digest['inFlight']>,
		handled: NonNullable<Digest['handled']> = [],
		firstWork: NonNullable<Digest['firstWork']> = [],
	): LoadProperties {
		const toHash = (id: string) => this.#servers.toHash(id);
		return {
			inFlightServers: Object.keys(inFlight).map((id) => toHash(id)),
			inFlightCounts: Object.values(inFlight),
			handledServers: handled.map(([id]) => toHash(id)),
			handledObjects: handled.map(([, object]) => object),
			firstWorkServers: firstWork.map(([id]) => toHash(id)),
			firstWorkObjects: firstWork.map(([, object]) => object),
			firstWorkRemainingMs: firstWork.map((run) => run[2]),
		};
	}

	#createRateLimits(
		rateLimits: NonNullable<Digest['rateLimits']>,
	): RateLimitsProperties {
		const limits = Object.values(rateLimits);
		return {
			servers: Object.keys(rateLimits).map((id) => this.#servers.toHash(id)),
			requestsPerSecond: limits.map(([limit]) => limit ?? noLimit),
			agesMs: limits.map(([, age]) => Math.max(0, age)),
		};
	}

	#toLoad(
		load: LoadProperties,
	): Pick<Digest, 'inFlight' | 'handled' | 'firstWork'> {
		const inFlight: Record<string, number> = {};
		for (const [id, index] of this.#findServers(load.inFlightServers)) {
			inFlight[id] = getItem(load.inFlightCounts, index);
		}

		const handled = this.#findServers(load.handledServers).map(
			([id, index]): [string, number] => [
				id,
				getItem(load.handledObjects, index),
			],
		);
		const firstWork = this.#findServers(load.firstWorkServers).map(
			([id, index]): [string, number, number] => [
				id,
				getItem(load.firstWorkObjects, index),
				getItem(load.firstWorkRemainingMs, index),
			],
		);
		return {inFlight, handled, firstWork};
	}

	#toRateLimits({
		servers,
		requestsPerSecond,
		agesMs,
	}: RateLimitsProperties): NonNullable<Digest['rateLimits']> {
		const rateLimits: NonNullable<Digest['rateLimits']> = {};
		for (const [id, index] of this.#findServers(servers)) {
			const limit = getItem(requestsPerSecond, index);
			rateLimits[id] = [limit < 0 ? null : limit, getItem(agesMs, index)];
		}

		return rateLimits;
	}

	/** Returns the ids of the known servers, each with its index in the list. */
	#findServers(
		hashes: readonly number[] | null | undefined,
	): Array<[id: string, index: number]> {
		return (hashes ?? []).flatMap((hash, index): Array<[string, number]> => {
			const id = this.#servers.findName(hash);
			return id === undefined ? [] : [[id, index]];
		});
	}
}

function toCrashes({
	requests,
	servers,
	agesMs,
}: CrashesProperties): NonNullable<Digest['crashes']> {
	return (requests ?? []).map((request, index) => [
		toIdentity(request),
		getItem(servers, index),
		getItem(agesMs, index),
	]);
}

function toAnsweredSuspects({
	requests,
	agesMs,
}: AnsweredProperties): NonNullable<Digest['answeredSuspects']> {
	return (requests ?? []).map((request, index) => [
		toIdentity(request),
		getItem(agesMs, index),
	]);
}

function toIdentity(bytes: Uint8Array): string {
	return Buffer.from(bytes).toString('hex');
}

function createCounts(counts: Counts, hashes: NameHashes): CountsProperties {
	const values = Object.values(counts);
	return {
		names: Object.keys(counts).map((name) => hashes.toHash(name)),
		requestsPerTenSeconds: values.map(([rate]) => toWholeRate(rate)),
		admitted: values.map(([, admitted]) => admitted),
	};
}

function toCounts(
	{names, requestsPerTenSeconds, admitted}: CountsProperties,
	hashes: NameHashes,
): Counts {
	const counts: Counts = {};
	for (const [index, hash] of (names ?? []).entries()) {
		const name = hashes.findName(hash);
		if (name !== undefined) {
			counts[name] = [
				getItem(requestsPerTenSeconds, index) / rateScale,
				getItem(admitted, index),
			];
		}
	}

	return counts;
}

function toWholeRate(perSecond: number): number {
	return Math.round(perSecond * rateScale);
}

/** Throws if the list is shorter than the list that it belongs to. */
function getItem(
	list: readonly number[] | null | undefined,
	index: number,
): number {
	const item = list?.[index];
	if (item === undefined) {
		throw new Error('the lists of a digest differ in length');
	}

	return item;
}
