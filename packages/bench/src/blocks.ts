import {createClientBlockTable, type Block} from '@parsleyvale/client-blocks';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const seed = 3_300_000;
const sites = 3200;
const probes = 500_000;
const textProbes = 50_000;
const changes = 74_000;
const longestPause = 10;
const lengthsOfIpv4 = [16, 20, 22, 23, 24, 24, 24, 28];
const lengthsOfIpv6 = [32, 40, 44, 48, 48, 56, 64];
const largestWord = 2 ** 32 - 1;
const wordBits = 32;
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

/** Half IPv4, half IPv6 under a few thousand allocations of 32 bits. */
function createBlock(random: Random): Block {
	if (random(2) === 0) {
		const length = lengthsOfIpv4[random(lengthsOfIpv4.length)]!;
		return {
			words: Uint32Array.of(toMasked(createWord(random), length)),
			length,
		};
	}

	const length = lengthsOfIpv6[random(lengthsOfIpv6.length)]!;
	const first = 0x20_01_00_00 + random(8192);
	const words = [first, createWord(random), 0, 0].map((word, index) =>
		toMasked(word, length - index * wordBits),
	);
	return {words: Uint32Array.from(words), length};
}

function measure(count: number, run: (index: number) => void): number {
	const started = performance.now();
	for (let index = 0; index < count; index++) {
		run(index);
	}

	const spent = performance.now() - started;
	return (spent * nanosecondsPerMillisecond) / count;
}

function toText({words}: Block): string {
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
function createProbe(blocks: readonly Block[]) {
	const most = 4;
	const all = new Uint32Array(blocks.length * most);
	const lengths = blocks.map(({words}) => words.length);
	for (const [index, {words}] of blocks.entries()) {
		all.set(words, index * most);
	}

	const ipv4 = new Uint32Array(1);
	const ipv6 = new Uint32Array(most);
	return (index: number): Uint32Array => {
		const words = lengths[index] === 1 ? ipv4 : ipv6;
		for (let word = 0; word < words.length; word++) {
			words[word] = all[index * most + word]!;
		}

		return words;
	};
}

/** Builds a table of so many blocks from nothing and measures it. */
export function measureBlocks(blocks: number): BlocksMeasurement {
	const random = createRandom();
	const table = createClientBlockTable({
		expectedIpv4Blocks: blocks / 2,
		expectedIpv6Blocks: blocks / 2,
	});
	let longest = 0;
	let slow = 0;
	const change = (block: Block, site: number) => {
		const started = performance.now();
		table.set(block, site);
		const spent = performance.now() - started;
		longest = Math.max(longest, spent);
		slow += spent > longestPause ? 1 : 0;
	};

	const sample: Block[] = [];
	const site = 1;
	while (table.size < blocks) {
		const block = createBlock(random);
		change(block, site);
		if (sample.length < probes && random(7) === 0) {
			sample.push(block);
		}
	}

	while (table.isMoving) {
		table.advance(4096);
	}

	const updates = Array.from({length: changes}, () => createBlock(random));
	const {bytes} = table;
	const texts = sample.slice(0, textProbes).map((block) => toText(block));
	const pick = Array.from({length: probes}, () => random(sample.length));
	const getProbe = createProbe(pick.map((index) => sample[index]!));
	// The first pass warms the code up.
	measure(probes, (index) => table.findByWords(getProbe(index)));
	const lookUpNanoseconds = measure(probes, (index) =>
		table.findByWords(getProbe(index)),
	);
	const textLookUpNanoseconds = measure(textProbes, (index) =>
		table.findByText(texts[index % texts.length]!),
	);
	const changeNanoseconds = measure(changes, (index) => {
		change(updates[index]!, index % sites);
	});
	return {
		blocks,
		bytesPerBlock: bytes / blocks,
		megabytes: bytes / 1e6,
		lookUpNanoseconds,
		textLookUpNanoseconds,
		changeNanoseconds,
		longestChangeMilliseconds: longest,
		changesOver10Milliseconds: slow,
	};
}
