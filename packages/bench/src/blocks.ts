import {createClientBlockTable, type Block} from '@parsleyvale/client-blocks';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const seed = 3_300_000;
const sites = 3200;
const probes = 500_000;
const textProbes = 50_000;
const changes = 74_000;
const longestPause = 10;
const sampleEvery = 7;

/** Drawn twice, some IPv4 blocks count once; a little room is left. */
const partOfIpv4 = 0.49;
const partOfIpv6 = 0.54;
const lengthsOfIpv4 = [20, 22, 23, 24, 24, 24, 24, 28];
const lengthsOfIpv6 = [32, 40, 44, 48, 48, 56, 64];
const largestWord = 2 ** 32 - 1;
const wordBits = 32;
const wordsOfIpv4 = 1;
const wordsOfIpv6 = 4;
const firstAllocation = 0x20_01_00_00;
const allocations = 8192;
const nanosecondsPerMillisecond = 1e6;

/** What the table of client blocks costs at one size. */
export type BlocksMeasurement = {
	readonly blocks: number;
	readonly bytesPerBlock: number;
	readonly megabytes: number;
	readonly lookUpNanoseconds: number;
	/** Starting from the address in text. */
	readonly textLookUpNanoseconds: number;
	readonly changeNanoseconds: number;
	/** The longest single change, while the table grew from nothing too. */
	readonly longestChangeMilliseconds: number;
	/** Of all changes, filling the table included. */
	readonly changesOver10Milliseconds: number;
};

type Random = (below: number) => number;

function createRandom(): Random {
	const generator = xoroshiro128plus(seed);
	return (below) => unsafeUniformIntDistribution(0, below - 1, generator);
}

function createWord(random: Random): number {
	return random(largestWord);
}

function toMasked(word: number, bits: number): number {
	const unit = 2 ** (wordBits - Math.min(wordBits, Math.max(0, bits)));
	return Math.floor(word / unit) * unit;
}

/**
 * Makes blocks, half IPv4, half IPv6 under a few thousand allocations of 32
 * bits. Each is valid until the next: garbage would be measured too.
 */
function createBlockSource(random: Random): () => Block {
	const ipv4 = new Uint32Array(wordsOfIpv4);
	const ipv6 = new Uint32Array(wordsOfIpv6);
	const block = {words: ipv4, length: 0};
	return () => {
		const isIpv4 = random(2) === 0;
		const lengths = isIpv4 ? lengthsOfIpv4 : lengthsOfIpv6;
		block.words = isIpv4 ? ipv4 : ipv6;
		block.length = lengths[random(lengths.length)]!;
		for (let word = 0; word < block.words.length; word++) {
			const bits =
				word === 0 && !isIpv4 ? createAllocation(random) : createWord(random);
			block.words[word] = toMasked(bits, block.length - word * wordBits);
		}

		return block;
	};
}

function createAllocation(random: Random): number {
	return firstAllocation + random(allocations);
}

function runTimed(count: number, run: (index: number) => void): number {
	const started = performance.now();
	for (let index = 0; index < count; index++) {
		run(index);
	}

	const spent = performance.now() - started;
	return (spent * nanosecondsPerMillisecond) / count;
}

function toText(words: Uint32Array): string {
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

/** Addresses side by side in memory, as those of callers at hand are. */
class Probes {
	size = 0;
	readonly #all = new Uint32Array(probes * wordsOfIpv6);
	readonly #lengths = new Uint8Array(probes);
	readonly #ipv4 = new Uint32Array(wordsOfIpv4);
	readonly #ipv6 = new Uint32Array(wordsOfIpv6);

	add({words}: Block): void {
		this.#all.set(words, this.size * wordsOfIpv6);
		this.#lengths[this.size] = words.length;
		this.size++;
	}

	get(index: number): Uint32Array {
		const isIpv4 = this.#lengths[index] === wordsOfIpv4;
		const words = isIpv4 ? this.#ipv4 : this.#ipv6;
		for (let word = 0; word < words.length; word++) {
			words[word] = this.#all[index * wordsOfIpv6 + word]!;
		}

		return words;
	}
}

/** Builds a table of so many blocks from nothing and measures it. */
export function runBlocksBenchmark(blocks: number): BlocksMeasurement {
	const random = createRandom();
	const table = createClientBlockTable({
		expectedIpv4Blocks: blocks * partOfIpv4,
		expectedIpv6Blocks: blocks * partOfIpv6,
	});
	let longest = 0;
	let slow = 0;
	let changed = 0;
	const change = (block: Block, site: number) => {
		const started = performance.now();
		table.set(block, site);
		const spent = performance.now() - started;
		changed += spent;
		longest = Math.max(longest, spent);
		slow += spent > longestPause ? 1 : 0;
	};

	const createBlock = createBlockSource(random);
	const sample = new Probes();
	while (table.size < blocks) {
		const block = createBlock();
		change(block, random(sites));
		if (sample.size < probes && random(sampleEvery) === 0) {
			sample.add(block);
		}
	}

	const {bytes} = table;
	const picks = Uint32Array.from({length: probes}, () => random(sample.size));
	const find = (index: number) => table.findByWords(sample.get(picks[index]!));
	// The first pass warms the code up.
	runTimed(probes, find);
	const lookUpNanoseconds = runTimed(probes, find);
	const texts = Array.from({length: textProbes}, (_, index) =>
		toText(sample.get(picks[index]!)),
	);
	const textLookUpNanoseconds = runTimed(textProbes, (index) =>
		table.findByText(texts[index]!),
	);
	changed = 0;
	for (let count = 0; count < changes; count++) {
		change(createBlock(), count % sites);
	}

	return {
		blocks,
		bytesPerBlock: bytes / blocks,
		megabytes: bytes / 1e6,
		lookUpNanoseconds,
		textLookUpNanoseconds,
		changeNanoseconds: (changed * nanosecondsPerMillisecond) / changes,
		longestChangeMilliseconds: longest,
		changesOver10Milliseconds: slow,
	};
}
