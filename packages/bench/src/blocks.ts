import {createClientBlockTable, type Block} from '@parsleyvale/client-blocks';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const seed = 3_300_000;
const siteCount = 3200;
const probeCount = 500_000;
const textProbeCount = 50_000;
const changeCount = 74_000;
const slowChangeMs = 10;
const sampleInterval = 7;

/** Some random IPv4 blocks are duplicates and count once, so fewer than half are expected; both fractions include a margin. */
const ipv4Fraction = 0.49;
const ipv6Fraction = 0.54;
const ipv4PrefixLengths = [20, 22, 23, 24, 24, 24, 24, 28];
const ipv6PrefixLengths = [32, 40, 44, 48, 48, 56, 64];
const maxWord = 2 ** 32 - 1;
const wordBits = 32;
const ipv4WordCount = 1;
const ipv6WordCount = 4;
const firstAllocation = 0x20_01_00_00;
const allocationCount = 8192;
const nanosecondsPerMillisecond = 1e6;

/** Cost of the client block table at one size. */
export type BlocksMeasurement = {
	readonly blocks: number;
	readonly bytesPerBlock: number;
	readonly megabytes: number;
	readonly lookUpNanoseconds: number;
	/** Look-up of an address given as text. */
	readonly textLookUpNanoseconds: number;
	readonly changeNanoseconds: number;
	/** Longest single change, including those while the table was filled. */
	readonly longestChangeMilliseconds: number;
	/** Number of changes, including those while the table was filled. */
	readonly changesOver10Milliseconds: number;
};

type Random = (upperBound: number) => number;

function createRandom(): Random {
	const generator = xoroshiro128plus(seed);
	return (upperBound) =>
		unsafeUniformIntDistribution(0, upperBound - 1, generator);
}

function createWord(random: Random): number {
	return random(maxWord);
}

function maskWord(word: number, bits: number): number {
	const blockSize = 2 ** (wordBits - Math.min(wordBits, Math.max(0, bits)));
	return Math.floor(word / blockSize) * blockSize;
}

/**
 * Creates random blocks, half IPv4 and half IPv6 within a few thousand /32
 * allocations. The returned block is reused by the next call, because garbage
 * collection would distort the measurement.
 */
function createBlockSource(random: Random): () => Block {
	const ipv4 = new Uint32Array(ipv4WordCount);
	const ipv6 = new Uint32Array(ipv6WordCount);
	const block = {words: ipv4, length: 0};
	return () => {
		const isIpv4 = random(2) === 0;
		const lengths = isIpv4 ? ipv4PrefixLengths : ipv6PrefixLengths;
		block.words = isIpv4 ? ipv4 : ipv6;
		block.length = lengths[random(lengths.length)]!;
		for (let word = 0; word < block.words.length; word++) {
			const bits =
				word === 0 && !isIpv4 ? createAllocation(random) : createWord(random);
			block.words[word] = maskWord(bits, block.length - word * wordBits);
		}

		return block;
	};
}

function createAllocation(random: Random): number {
	return firstAllocation + random(allocationCount);
}

function measureNanoseconds(
	count: number,
	run: (index: number) => void,
): number {
	const startedAt = performance.now();
	for (let index = 0; index < count; index++) {
		run(index);
	}

	const elapsed = performance.now() - startedAt;
	return (elapsed * nanosecondsPerMillisecond) / count;
}

function formatAddress(words: Uint32Array): string {
	const [first = 0, second = 0] = words;
	if (words.length === 1) {
		return [24, 16, 8, 0]
			.map((shift) => Math.floor(first / 2 ** shift) % 256)
			.join('.');
	}

	const groups = [first, second].flatMap((word) => [
		Math.floor(word / 65_536).toString(16),
		(word % 65_536).toString(16),
	]);
	return `${groups.join(':')}::1`;
}

/** Addresses stored contiguously in memory, like the addresses of active callers. */
class ProbeSet {
	size = 0;
	readonly #words = new Uint32Array(probeCount * ipv6WordCount);
	readonly #lengths = new Uint8Array(probeCount);
	readonly #ipv4 = new Uint32Array(ipv4WordCount);
	readonly #ipv6 = new Uint32Array(ipv6WordCount);

	add({words}: Block): void {
		this.#words.set(words, this.size * ipv6WordCount);
		this.#lengths[this.size] = words.length;
		this.size++;
	}

	get(index: number): Uint32Array {
		const isIpv4 = this.#lengths[index] === ipv4WordCount;
		const words = isIpv4 ? this.#ipv4 : this.#ipv6;
		for (let word = 0; word < words.length; word++) {
			words[word] = this.#words[index * ipv6WordCount + word]!;
		}

		return words;
	}
}

/** Fills an empty table with this number of blocks and measures it. */
export function runBlocksBenchmark(blocks: number): BlocksMeasurement {
	const random = createRandom();
	const table = createClientBlockTable({
		expectedIpv4Blocks: blocks * ipv4Fraction,
		expectedIpv6Blocks: blocks * ipv6Fraction,
	});
	let longestChange = 0;
	let slowChangeCount = 0;
	let totalChangeTime = 0;
	const applyChange = (block: Block, site: number) => {
		const startedAt = performance.now();
		table.set(block, site);
		const elapsed = performance.now() - startedAt;
		totalChangeTime += elapsed;
		longestChange = Math.max(longestChange, elapsed);
		slowChangeCount += elapsed > slowChangeMs ? 1 : 0;
	};

	const createBlock = createBlockSource(random);
	const sample = new ProbeSet();
	while (table.size < blocks) {
		const block = createBlock();
		applyChange(block, random(siteCount));
		if (sample.size < probeCount && random(sampleInterval) === 0) {
			sample.add(block);
		}
	}

	const {bytes} = table;
	const probeIndexes = Uint32Array.from({length: probeCount}, () =>
		random(sample.size),
	);
	const lookUp = (index: number) =>
		table.findByWords(sample.get(probeIndexes[index]!));
	// The first pass warms up the JIT compiler.
	measureNanoseconds(probeCount, lookUp);
	const lookUpNanoseconds = measureNanoseconds(probeCount, lookUp);
	const texts = Array.from({length: textProbeCount}, (_, index) =>
		formatAddress(sample.get(probeIndexes[index]!)),
	);
	const textLookUpNanoseconds = measureNanoseconds(textProbeCount, (index) =>
		table.findByText(texts[index]!),
	);
	totalChangeTime = 0;
	for (let count = 0; count < changeCount; count++) {
		applyChange(createBlock(), count % siteCount);
	}

	return {
		blocks,
		bytesPerBlock: bytes / blocks,
		megabytes: bytes / 1e6,
		lookUpNanoseconds,
		textLookUpNanoseconds,
		changeNanoseconds:
			(totalChangeTime * nanosecondsPerMillisecond) / changeCount,
		longestChangeMilliseconds: longestChange,
		changesOver10Milliseconds: slowChangeCount,
	};
}
